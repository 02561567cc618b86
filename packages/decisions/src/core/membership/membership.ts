/**
 * Joins the platform's lagging list with what this process sees of others.
 *
 * Membership buys speed only: a VM wrongly thought alive costs an attempt, one
 * wrongly thought gone costs a detour.
 */
import type {
  ListedVm,
  MemberRecord,
  MembershipEvent,
  MembershipState,
  Reachability,
} from './types.js';

/** Failing attempts for this long make a proxy unreachable. */
export const UNREACHABLE_AFTER_MS = 1_500;

/** An unreachable proxy is worth a new attempt after this time. */
export const RETRY_UNREACHABLE_AFTER_MS = 10_000;

/** A VM that the list no longer shows is kept for this long without a sign. */
export const FORGET_AFTER_MS = 60_000;

/**
 * Begins with this process alone.
 *
 * @param self - The VM of this process, from its settings.
 * @param boot - Identifies this run.
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

/** Takes in one event. */
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

/** Says what this process sees of a VM. */
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
 * Lists the VMs that take part in placement: those that the list shows or that
 * answer, but neither leave, nor stop, nor fail to answer.
 *
 * A VM that left the list but still answers goes on counting, because the list
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
 * Lists the VMs that are worth asking: those that do not fail to answer, and
 * those whose last failure is long ago.
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
 * Whether a run of a VM is known to have ended: the list no longer shows the
 * VM and it does not answer, or a later run of it was seen. Two runs on one VM
 * exclude each other, because both need its ports. A VM that the list never
 * showed to this process may be too new for it, so it counts as gone only
 * after the time for which one that left is remembered.
 *
 * @param name - Name of the VM.
 * @param boot - The run in question.
 */
export function hasRunEnded(
  state: MembershipState,
  name: string,
  boot: string,
  nowMs: number,
): boolean {
  const {listFirstReadAtMs: listKnownSinceMs} = state;
  if (listKnownSinceMs === undefined) return false;
  const record = state.members.get(name);
  if (record === undefined) {
    return nowMs - listKnownSinceMs >= FORGET_AFTER_MS;
  }
  if (record.boot !== undefined && record.boot !== boot) return true;
  if (record.listed !== 'absent') return false;
  return reachabilityOf(state, record, nowMs) !== 'reachable';
}

/**
 * Whether attempts have failed for so long that the proxy is unreachable. One
 * failure is not enough while the list shows the VM: a pause of this process
 * breaks every link once. A VM that left the list is not tried again.
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

/** Joins a list with what is known. */
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

/** Updates one known VM from the list; nothing if it can be forgotten. */
function mergeListedVm(
  state: MembershipState,
  record: MemberRecord,
  vm: ListedVm | undefined,
  nowMs: number,
): MemberRecord | undefined {
  const listed = vm?.state ?? 'absent';
  const listedSinceMs = listed === record.listed ? record.listedSinceMs : nowMs;
  if (vm === undefined) {
    const lastSignMs = Math.max(listedSinceMs, record.lastHeardAtMs ?? 0);
    const isForgotten = nowMs - lastSignMs >= FORGET_AFTER_MS;
    if (isForgotten && record.name !== state.self) return undefined;
    return {...record, listed, listedSinceMs};
  }
  const isReplaced =
    record.listed === 'absent' || vm.address !== record.address;
  const {zone, region, address} = vm;
  const seen = isReplaced ? clearFailures(record) : record;
  return {...seen, zone, region, address, listed, listedSinceMs};
}

/** A VM that came back deserves a new attempt. */
function clearFailures(record: MemberRecord): MemberRecord {
  return {...record, failingSinceMs: undefined, lastFailedAtMs: undefined};
}

/** Notes a sign of life; another run begins without the past of the last. */
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

/** Changes one known VM; a VM that is not known is left out. */
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
