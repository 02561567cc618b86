import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** A bounded queue of messages for one task, first in, first out. */
export class MessageQueue<Message> {
  private readonly queue: Message[] = [];
  private readonly messageAdded = new Subject<void>();

  /** @param capacity - How many messages may wait. */
  constructor(private readonly capacity: number) {}

  /** Emits whenever a message was added. */
  get messageAdded$(): Observable<void> {
    return this.messageAdded;
  }

  /** How many messages wait. */
  get size(): number {
    return this.queue.length;
  }

  /**
   * Adds a message.
   *
   * @throws SapphiregladeError of kind `mailbox-full` if the mailbox is full.
   */
  enqueue(message: Message): void {
    if (this.queue.length >= this.capacity) {
      throw new SapphiregladeError(
        ErrorKind.MessageQueueFull,
        `The mailbox holds ${this.capacity} messages already.`,
      );
    }
    this.queue.push(message);
    this.messageAdded.next();
  }

  /** Takes the oldest message, if there is one. */
  dequeue(): Message | undefined {
    return this.queue.shift();
  }
}
