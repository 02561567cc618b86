import type {GroupInstance} from './types.js';

/** Returns whether two instances are the same incarnation of one. */
export function isSame(left: GroupInstance, right: GroupInstance): boolean {
  return left.id === right.id && left.bornAtMs === right.bornAtMs;
}

/** Returns whether an incarnation of an instance is among others. */
export function includes(
  instances: readonly GroupInstance[],
  instance: GroupInstance,
): boolean {
  return instances.some(each => isSame(each, instance));
}

/** Returns whether two lists have the same incarnations, each once. */
export function haveSameInstances(
  left: readonly GroupInstance[] = [],
  right: readonly GroupInstance[] = [],
): boolean {
  return (
    left.length === right.length && right.every(each => includes(left, each))
  );
}
