import {MessageQueue} from './message-queue.js';
import {SupervisedTask} from './supervised-task.js';
import {TaskState} from './types.js';

/** Default capacity of a task's message queue. */
const DEFAULT_QUEUE_CAPACITY = 10_000;

/**
 * A task that owns its sockets and state; other tasks interact with it only by
 * messages.
 *
 * Messages are handled one at a time, in the order of their arrival. An error
 * thrown by a handler fails the task; its supervisor decides whether to restart it.
 */
export abstract class MessageTask<Message> extends SupervisedTask {
  private readonly queue: MessageQueue<Message>;
  private draining = false;

  /**
   * @param name - Name for logs, unique among its siblings.
   * @param queueCapacity - Largest number of queued messages.
   */
  constructor(name: string, queueCapacity = DEFAULT_QUEUE_CAPACITY) {
    super(name);
    this.queue = new MessageQueue(queueCapacity);
    this.queue.messageAdded$.subscribe(() => void this.drain());
  }

  /**
   * Queues a message for the task.
   *
   * @throws SapphiregladeError of kind `mailbox-full` if the queue is full.
   */
  post(message: Message): void {
    this.queue.enqueue(message);
  }

  /** Handles one message. */
  protected abstract onMessage(message: Message): void | Promise<void>;

  protected override onRunning(): void {
    void this.drain();
  }

  /** Handles the queued messages one at a time. */
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

  /** Returns whether messages are handled in the current state. */
  private canHandleMessages(): boolean {
    return (
      this.state === TaskState.Running || this.state === TaskState.Stopping
    );
  }
}
