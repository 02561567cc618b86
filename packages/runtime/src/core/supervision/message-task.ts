import {MessageQueue} from './message-queue.js';
import {SupervisedTask} from './supervised-task.js';
import {TaskState} from './types.js';

/** How many messages may wait for a task. */
const DEFAULT_QUEUE_CAPACITY = 10_000;

/**
 * A task owns its sockets and its state; others talk to it by messages only.
 *
 * Messages are handled one at a time, in the order of their arrival. An error
 * thrown by a handler fails the task, and its supervisor decides what follows.
 */
export abstract class MessageTask<Message> extends SupervisedTask {
  private readonly queue: MessageQueue<Message>;
  private draining = false;

  /**
   * @param name - Name for logs, unique among its siblings.
   * @param mailboxCapacity - How many messages may wait.
   */
  constructor(name: string, mailboxCapacity = DEFAULT_QUEUE_CAPACITY) {
    super(name);
    this.queue = new MessageQueue(mailboxCapacity);
    this.queue.messageAdded$.subscribe(() => void this.drain());
  }

  /**
   * Sends a message to the task.
   *
   * @throws SapphiregladeError of kind `mailbox-full` if too many wait.
   */
  post(message: Message): void {
    this.queue.enqueue(message);
  }

  /** Handles one message. */
  protected abstract onMessage(message: Message): void | Promise<void>;

  protected override onRunning(): void {
    void this.drain();
  }

  /** Handles the waiting messages one after another. */
  private async drain(): Promise<void> {
    if (this.draining) return;
    this.draining = true;
    try {
      while (this.canHandleMessages()) {
        const message = this.queue.dequeue();
        if (message === undefined) break;
        await this.onMessage(message);
      }
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    } finally {
      this.draining = false;
    }
  }

  /** Says whether messages are handled in the present state. */
  private canHandleMessages(): boolean {
    return (
      this.state === TaskState.Running || this.state === TaskState.Stopping
    );
  }
}
