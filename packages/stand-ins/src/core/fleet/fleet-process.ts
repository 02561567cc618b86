import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Time allowed for a process to exit after SIGTERM, in milliseconds. */
const STOP_TIMEOUT_MS = 15_000;

/** Length of the log excerpt in errors about a failed start, in characters. */
const LOG_EXCERPT_LENGTH = 2_000;

/** Specification of a process of the fleet. */
export interface ProcessSpecification {
  readonly name: string;
  /** Path of the program that Node.js runs. */
  readonly program: string;
  /** Command before `--settings FILE`; none if left out. */
  readonly command?: string;
  /** Settings, written to a file in `folder`. */
  readonly settings: unknown;
  /** Folder for the settings and logs. */
  readonly folder: string;
  /** Options of Node.js, before the program. */
  readonly nodeOptions?: readonly string[];
}

/** Process of a fleet. Signals are sent only to its own process id. */
export class FleetProcess {
  private child: ChildProcess | undefined;
  private settings: unknown;

  /**
   * @param specification - Program, settings and folder.
   * @param onProcessChange - Called when the process starts and when it exits.
   */
  constructor(
    private readonly specification: ProcessSpecification,
    private readonly onProcessChange: (pid: number, isRunning: boolean) => void,
  ) {
    this.settings = specification.settings;
  }

  /** Name within the fleet. */
  get name(): string {
    return this.specification.name;
  }

  /** Process id; undefined if the process is not running. */
  get pid(): number | undefined {
    return this.isRunning ? this.child?.pid : undefined;
  }

  /** Whether the process is running. */
  get isRunning(): boolean {
    const {child} = this;
    return (
      child !== undefined &&
      child.exitCode === null &&
      child.signalCode === null
    );
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.isRunning) return;
    const {name, program, command} = this.specification;
    this.writeSettings(this.settings);
    const log = openSync(this.logFile, 'a');
    const nodeOptions = this.specification.nodeOptions ?? [];
    const commands = command === undefined ? [] : [command];
    const child = spawn(
      process.execPath,
      [...nodeOptions, program, ...commands, '--settings', this.settingsFile],
      {stdio: ['ignore', log, log]},
    );
    closeSync(log);
    this.child = child;
    const {pid} = child;
    if (pid === undefined) throw new Error(`${name} could not be started.`);
    this.onProcessChange(pid, true);
    child.once('exit', () => this.onProcessChange(pid, false));
  }

  /** Replaces the settings file; later starts use the new settings too. */
  writeSettings(settings: unknown): void {
    this.settings = settings;
    writeFileSync(this.settingsFile, JSON.stringify(settings, null, 2));
  }

  /** Sends a signal, for example SIGSTOP. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    await this.signalAndWait('SIGKILL');
  }

  /** Sends SIGTERM and waits for the exit; sends SIGKILL after a timeout. */
  async terminate(): Promise<void> {
    const timer = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS);
    await this.signalAndWait('SIGTERM');
    clearTimeout(timer);
  }

  /** Returns the last characters of the log. */
  readLog(length = LOG_EXCERPT_LENGTH): string {
    return readFileSync(this.logFile, 'utf8').slice(-length);
  }

  private get settingsFile(): string {
    const {folder, name} = this.specification;
    return join(folder, `${fileName(name)}.json`);
  }

  private get logFile(): string {
    const {folder, name} = this.specification;
    return join(folder, `${fileName(name)}.log`);
  }

  private async signalAndWait(signal: NodeJS.Signals): Promise<void> {
    if (!this.isRunning || this.child === undefined) return;
    const exited = once(this.child, 'exit');
    this.signal(signal);
    await exited;
  }
}

function fileName(name: string): string {
  return name.replaceAll('/', '.');
}
