import {describe, it} from 'node:test';
import {expect, mockFn} from 'earl';
import type {ChildFailureReport} from '../src/index.js';
import {
  createSilentLogger,
  decideRestart,
  Supervisor,
  TaskGroup,
  SupervisedTask,
  TaskState,
} from '../src/index.js';

const POLICY = {
  initialBackoffMs: 1,
  maximumBackoffMs: 4,
  maximumFailures: 2,
  failureWindowMs: 60_000,
};

class RecordingTask extends SupervisedTask {
  constructor(
    name: string,
    private readonly calls: string[],
  ) {
    super(name);
  }

  crash(): void {
    this.fail(new Error('crash'));
  }

  protected async onStart(): Promise<void> {
    this.calls.push(`start ${this.name}`);
  }

  protected async onStop(): Promise<void> {
    this.calls.push(`stop ${this.name}`);
  }
}

describe('Supervisor', () => {
  describe('order', () => {
    it('starts children in order and stops them in reverse', async () => {
      const calls: string[] = [];
      const supervisor = new Supervisor(
        'root',
        ['a', 'b'].map(name => ({
          name,
          create: () => new RecordingTask(name, calls),
        })),
        createSilentLogger(),
      );
      await supervisor.start();
      await supervisor.stop(100);
      expect(calls).toEqual(['start a', 'start b', 'stop b', 'stop a']);
    });
  });

  describe('failure of a child', () => {
    it('restarts the child until it fails too often', async () => {
      const tasks: RecordingTask[] = [];
      const reports: ChildFailureReport[] = [];
      const onFailure = mockFn((_error: Error) => undefined);
      const supervisor = new Supervisor(
        'root',
        [{name: 'child', create: () => addTask(tasks)}],
        createSilentLogger(),
        POLICY,
      );
      supervisor.childFailures$.subscribe(report => reports.push(report));
      supervisor.failures$.subscribe(onFailure);
      await supervisor.start();
      for (let crash = 0; crash < 3; crash += 1) {
        tasks.at(-1)?.crash();
        await waitForRunning(tasks, crash + 2);
      }
      expect(reports.map(report => report.restartDelayMs)).toEqual([
        1,
        2,
        null,
      ]);
      expect(onFailure.calls.length).toEqual(1);
      expect(supervisor.state).toEqual(TaskState.Failed);
    });
  });

  describe('a group of dependent tasks', () => {
    it('is stopped and recreated as a whole if one task fails', async () => {
      const calls: string[] = [];
      const tasks: RecordingTask[] = [];
      const supervisor = new Supervisor(
        'root',
        [{name: 'group', create: () => createGroup(calls, tasks)}],
        createSilentLogger(),
        POLICY,
      );
      await supervisor.start();
      tasks[0]?.crash();
      await waitForRunning(tasks, 4);
      await supervisor.stop(100);
      expect(calls).toEqual([
        ...['start a', 'start b', 'stop b', 'stop a'],
        ...['start a', 'start b', 'stop b', 'stop a'],
      ]);
    });
  });

  describe('decideRestart', () => {
    it('doubles the delay up to the maximum and drops failures outside the window', () => {
      const policy = {...POLICY, maximumFailures: 10};
      const times = [0, 1, 2, 3];
      const delays = times.map(
        (now, index) =>
          decideRestart({failureTimesMs: times.slice(0, index)}, now, policy)
            .backoffMs,
      );
      expect(delays).toEqual([1, 2, 4, 4]);
      const later = decideRestart(
        {failureTimesMs: times},
        POLICY.failureWindowMs + 10,
        policy,
      );
      expect(later.history.failureTimesMs).toEqual([
        POLICY.failureWindowMs + 10,
      ]);
    });
  });
});

function createGroup(calls: string[], tasks: RecordingTask[]): TaskGroup {
  const children = ['a', 'b'].map(name => new RecordingTask(name, calls));
  tasks.push(...children);
  return new TaskGroup('group', children);
}

function addTask(tasks: RecordingTask[]): RecordingTask {
  const task = new RecordingTask('child', []);
  tasks.push(task);
  return task;
}

async function waitForRunning(
  tasks: readonly RecordingTask[],
  count: number,
): Promise<void> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    if (tasks.length >= count && tasks.at(-1)?.state === TaskState.Running) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}
