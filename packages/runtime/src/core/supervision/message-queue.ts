import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** Bounded first-in, first-out queue of the messages to one task. */
export class MessageQueue<Message> {
  private readonly queue: Message[] = [];
  private readonly messageAdded = new Subject<void>();

  /** @param capacity - Largest number of queued messages. */
  constructor(private readonly capacity: number) {}

  /** Emits after each added message. */
  get messageAdded$(): Observable<void> {
    return this.messageAdded;
  }

  /** Number of queued messages. */
  get size(): number {
    return this.queue.length;
  }

  /**
   * Adds a message.
   *
   * @throws SapphiregladeError of kind `mailbox-full` if the queue is full.
   */
  enqueue(message: Message): void {
    if (this.queue.length >= this.capacity) {
      throw new SapphiregladeError(
        ErrorKind.MessageQueueFull,
        `The message queue is full: it holds ${this.capacity} messages.`,
      );
    }
    this.queue.push(message);
    this.messageAdded.next();
  }

  /** Removes and returns the oldest message, if there is one. */
  dequeue(): Message | undefined {
    return this.queue.shift();
  }
}
