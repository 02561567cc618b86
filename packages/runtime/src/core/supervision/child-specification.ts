import type {SupervisedTask} from './supervised-task.js';

/** Specifies one child of a supervisor. */
export interface ChildSpecification {
  /** Name of the child, unique within its supervisor. */
  readonly name: string;
  /** Creates a new task, at the start and after each failure. */
  readonly create: () => SupervisedTask;
}
