/**
 * Merges the platform's lagging VM list with the reachability of the VMs as
 * observed by this process.
 *
 * Membership affects only speed, not correctness: a VM wrongly listed as alive
 * costs a failed attempt, and one wrongly listed as gone costs an extra hop.
 */
import type {
  ListedVm,
  MemberRecord,
  MembershipEvent,
  MembershipState,
  Reachability,
} from './types.js';

/** Time of failing attempts after which a proxy is unreachable. */
export const UNREACHABLE_AFTER_MS = 1_500;

/** Time after which an unreachable proxy is contacted again. */
export const RETRY_UNREACHABLE_AFTER_MS = 10_000;

/** Time without contact after which a VM absent from the list is removed. */
export const FORGET_AFTER_MS = 60_000;

/**
 * Creates a membership that contains only this process.
 *
 * @param self - The VM of this process, from its settings.
 * @param boot - Identifier of this run.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function createMembership(
  self: Omit<ListedVm, 'state'>,
  boot: string,
  nowMs: number,
): MembershipState {
  const record: MemberRecord = {
    ...createMember({...self, state: 'live'}, nowMs),
    boot,
    lastHeardAtMs: nowMs,
  };
  return {
    self: self.name,
    members: new Map([[self.name, record]]),
    listFirstReadAtMs: undefined,
  };
}

/** Applies one event to the membership. */
export function applyMembershipEvent(
  state: MembershipState,
  event: MembershipEvent,
  nowMs: number,
): MembershipState {
  switch (event.type) {
    case 'list-read':
      return applyVmList(state, event.vms, nowMs);
    case 'peer-heard':
      return updateMember(state, event.name, record =>
        recordContact(record, event.boot, nowMs),
      );
    case 'peer-stopping':
      return updateMember(state, event.name, record => ({
        ...recordContact(record, event.boot, nowMs),
        isStopping: true,
      }));
    case 'peer-failed':
      return updateMember(state, event.name, record => ({
        ...record,
        failingSinceMs: record.failingSinceMs ?? nowMs,
        lastFailedAtMs: nowMs,
      }));
  }
}

/** Returns the reachability of a VM from this process. */
export function reachabilityOf(
  state: MembershipState,
  record: MemberRecord,
  nowMs: number,
): Reachability {
  if (record.name === state.self) return 'self';
  if (isUnreachable(record, nowMs)) return 'unreachable';
  return record.lastHeardAtMs === undefined ? 'unknown' : 'reachable';
}

/**
 * Lists the VMs that take part in placement: those that are listed or
 * reachable, except those that are leaving, stopping or unreachable.
 *
 * A VM that left the list but still answers remains active, because the list
 * lags in both directions.
 */
export function activeMembers(
  state: MembershipState,
  nowMs: number,
): MemberRecord[] {
  return [...state.members.values()].filter(record =>
    isActive(state, record, nowMs),
  );
}

/**
 * Lists the VMs that are worth contacting: those that are not unreachable, and
 * those whose last failure is at least {@link RETRY_UNREACHABLE_AFTER_MS} ago.
 */
export function contactableMembers(
  state: MembershipState,
  nowMs: number,
): MemberRecord[] {
  return [...state.members.values()].filter(
    record =>
      !isUnreachable(record, nowMs) ||
      nowMs - (record.lastFailedAtMs ?? 0) >= RETRY_UNREACHABLE_AFTER_MS,
  );
}

/**
 * Whether a run of a VM is known to have ended: the VM is absent from the list
 * and not reachable, or a different run of it was observed. Two runs on one VM
 * exclude each other, because both need its ports. A VM that this process has
 * never seen listed may be too new for the list, so its run counts as ended
 * only after the time for which a VM that left the list is kept.
 *
 * @param name - Name of the VM.
 * @param boot - Identifier of the run.
 */
export function hasRunEnded(
  state: MembershipState,
  name: string,
  boot: string,
  nowMs: number,
): boolean {
  const {listFirstReadAtMs: firstReadAtMs} = state;
  if (firstReadAtMs === undefined) return false;
  const record = state.members.get(name);
  if (record === undefined) {
    return nowMs - firstReadAtMs >= FORGET_AFTER_MS;
  }
  if (record.boot !== undefined && record.boot !== boot) return true;
  if (record.listed !== 'absent') return false;
  return reachabilityOf(state, record, nowMs) !== 'reachable';
}

/**
 * Whether attempts have failed for so long that the proxy is unreachable. One
 * failure is not enough while the VM is listed, because a pause of this process
 * breaks every link once. For a VM that left the list, the time since the first
 * failure counts, because no further attempt is made.
 */
function isUnreachable(record: MemberRecord, nowMs: number): boolean {
  const {failingSinceMs, lastFailedAtMs: failedAtMs, listed} = record;
  if (failingSinceMs === undefined || failedAtMs === undefined) return false;
  const untilMs = listed === 'absent' ? nowMs : failedAtMs;
  return untilMs - failingSinceMs >= UNREACHABLE_AFTER_MS;
}

function isActive(
  state: MembershipState,
  record: MemberRecord,
  nowMs: number,
): boolean {
  if (record.isStopping || record.listed === 'leaving') return false;
  if (record.name === state.self) return true;
  const reachability = reachabilityOf(state, record, nowMs);
  if (record.listed === 'absent') return reachability === 'reachable';
  return reachability !== 'unreachable';
}

/** Merges a VM list into the membership. */
function applyVmList(
  state: MembershipState,
  vms: readonly ListedVm[],
  nowMs: number,
): MembershipState {
  const listed = new Map(vms.map(vm => [vm.name, vm]));
  const members = new Map<string, MemberRecord>();
  for (const record of state.members.values()) {
    const next = mergeListedVm(state, record, listed.get(record.name), nowMs);
    if (next !== undefined) members.set(record.name, next);
  }
  for (const vm of vms) {
    if (!members.has(vm.name)) members.set(vm.name, createMember(vm, nowMs));
  }
  return {
    ...state,
    members,
    listFirstReadAtMs: state.listFirstReadAtMs ?? nowMs,
  };
}

/** Updates one known VM from the list; returns undefined to remove it. */
function mergeListedVm(
  state: MembershipState,
  record: MemberRecord,
  vm: ListedVm | undefined,
  nowMs: number,
): MemberRecord | undefined {
  const listed = vm?.state ?? 'absent';
  const listedSinceMs = listed === record.listed ? record.listedSinceMs : nowMs;
  if (vm === undefined) {
    const lastContactMs = Math.max(listedSinceMs, record.lastHeardAtMs ?? 0);
    const isExpired = nowMs - lastContactMs >= FORGET_AFTER_MS;
    if (isExpired && record.name !== state.self) return undefined;
    return {...record, listed, listedSinceMs};
  }
  const isReplaced =
    record.listed === 'absent' || vm.address !== record.address;
  const {zone, region, address} = vm;
  const base = isReplaced ? clearFailures(record) : record;
  return {...base, zone, region, address, listed, listedSinceMs};
}

/** Clears the failures of a VM that was listed again, so that it is retried. */
function clearFailures(record: MemberRecord): MemberRecord {
  return {...record, failingSinceMs: undefined, lastFailedAtMs: undefined};
}

/** Records contact with a VM; a new run does not inherit `isStopping`. */
function recordContact(
  record: MemberRecord,
  boot: string,
  nowMs: number,
): MemberRecord {
  const isSameRun = record.boot === boot;
  return {
    ...record,
    boot,
    isStopping: isSameRun && record.isStopping,
    lastHeardAtMs: nowMs,
    failingSinceMs: undefined,
    lastFailedAtMs: undefined,
  };
}

function createMember(vm: ListedVm, nowMs: number): MemberRecord {
  return {
    name: vm.name,
    zone: vm.zone,
    region: vm.region,
    address: vm.address,
    listed: vm.state,
    listedSinceMs: nowMs,
    boot: undefined,
    isStopping: false,
    lastHeardAtMs: undefined,
    failingSinceMs: undefined,
    lastFailedAtMs: undefined,
  };
}

/** Updates one known VM; an unknown VM is ignored. */
function updateMember(
  state: MembershipState,
  name: string,
  change: (record: MemberRecord) => MemberRecord,
): MembershipState {
  const record = state.members.get(name);
  if (record === undefined) return state;
  const members = new Map(state.members);
  members.set(name, change(record));
  return {...state, members};
}
