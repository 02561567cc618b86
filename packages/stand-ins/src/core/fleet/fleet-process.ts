import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** How long a process may take to end after SIGTERM, in milliseconds. */
const STOP_TIMEOUT_MS = 15_000;

/** How much of a log is shown when a process did not start, in characters. */
const LOG_EXCERPT_LENGTH = 2_000;

/** How a process of the fleet is started. */
export interface ProcessSpecification {
  readonly name: string;
  /** Path of the program, run by Node.js. */
  readonly program: string;
  /** Command before `--settings FILE`; none if left out. */
  readonly command?: string;
  /** Settings, written to a file in the fleet's folder. */
  readonly settings: unknown;
  /** Folder of the settings and logs. */
  readonly folder: string;
  /** Options of Node.js, before the program. */
  readonly nodeOptions?: readonly string[];
}

/** One process of a fleet, ended by its own process id only. */
export class FleetProcess {
  private child: ChildProcess | undefined;
  private settings: unknown;

  /**
   * @param specification - How it is started.
   * @param onProcessChange - Called with the id of each process that begins or ends.
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

  /** Process id, while it runs. */
  get pid(): number | undefined {
    return this.isRunning ? this.child?.pid : undefined;
  }

  /** Whether the process runs. */
  get isRunning(): boolean {
    const {child} = this;
    return (
      child !== undefined &&
      child.exitCode === null &&
      child.signalCode === null
    );
  }

  /** Starts the process, again if it has ended. */
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

  /** Writes other settings, which hold for the next start as well. */
  writeSettings(settings: unknown): void {
    this.settings = settings;
    writeFileSync(this.settingsFile, JSON.stringify(settings, null, 2));
  }

  /** Sends a signal, for example SIGSTOP. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await this.signalAndWait('SIGKILL');
  }

  /** Asks the process to stop; ends it if it takes too long. */
  async terminate(): Promise<void> {
    const timer = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS);
    await this.signalAndWait('SIGTERM');
    clearTimeout(timer);
  }

  /** The end of the log. */
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
    const ended = once(this.child, 'exit');
    this.signal(signal);
    await ended;
  }
}

function fileName(name: string): string {
  return name.replaceAll('/', '.');
}
