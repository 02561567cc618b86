/** A reference implementation of the configuration as a single copy. */
import type {ChangeProposal, Resource} from '../../src/index.js';

/** The contents of a configuration: resources and versions by key. */
export type ConfigurationContents = ReadonlyMap<
  string,
  {readonly version: number; readonly resource: Resource}
>;

/** Applies changes sequentially and stores the contents of every revision. */
export class ReferenceConfiguration {
  readonly revisions: ConfigurationContents[] = [new Map()];
  /** Revision and version of each change, by write identifier. */
  readonly applied = new Map<string, {revision: number; version: number}>();

  get latest(): ConfigurationContents {
    return this.revisions[this.revisions.length - 1] ?? new Map();
  }

  /**
   * Applies a change; throws if its expected version is not the current one or if
   * it was applied before.
   */
  apply(proposal: ChangeProposal): void {
    const {key, expectedVersion, resource, writeId} = proposal;
    if (this.applied.has(writeId)) throw new Error('applied twice');
    const current = this.latest.get(key)?.version ?? 0;
    if (current !== expectedVersion) throw new Error('lost update');
    const revision = this.revisions.length;
    const contents = new Map(this.latest);
    let version = 0;
    if (resource === null) {
      contents.delete(key);
    } else {
      version = current === 0 ? revision : current + 1;
      contents.set(key, {version, resource});
    }
    this.revisions.push(contents);
    this.applied.set(writeId, {revision, version});
  }
}
