import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {CallFault, FleetModel} from './fleet-model.js';

const PROXIES = 5;
const NAMES = ['x', 'y'];

type Operation = (fleet: FleetModel) => void;

const proxyArbitrary = fc.nat({max: PROXIES - 1});
const faultArbitrary = fc.constantFrom(...Object.values(CallFault));

/** Most operations advance a change, half of them without a fault. */
const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc
      .tuple(proxyArbitrary, fc.constantFrom(...NAMES), fc.boolean())
      .map(
        ([proxy, name, isDeletion]): Operation =>
          fleet =>
            fleet.propose(proxy, name, isDeletion),
      ),
  },
  {
    weight: 20,
    arbitrary: fc
      .tuple(
        fc.nat(),
        fc.option(faultArbitrary, {nil: CallFault.None, freq: 1}),
      )
      .map(
        ([index, fault]): Operation =>
          fleet =>
            fleet.advance(index, fault),
      ),
  },
  {
    weight: 4,
    arbitrary: fc.tuple(proxyArbitrary, faultArbitrary).map(
      ([proxy, fault]): Operation =>
        fleet =>
          fleet.followHead(proxy, fault),
    ),
  },
  {
    weight: 4,
    arbitrary: fc.tuple(proxyArbitrary, proxyArbitrary, fc.boolean()).map(
      ([proxy, source, isLost]): Operation =>
        fleet =>
          fleet.pull(proxy, source, isLost),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(proxyArbitrary, fc.nat()).map(
      ([proxy, index]): Operation =>
        fleet =>
          fleet.replayDelta(proxy, index),
    ),
  },
  {
    weight: 1,
    arbitrary: proxyArbitrary.map(
      (proxy): Operation =>
        fleet =>
          fleet.restart(proxy),
    ),
  },
  {
    weight: 1,
    arbitrary: proxyArbitrary.map(
      (proxy): Operation =>
        fleet =>
          fleet.togglePause(proxy),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.boolean().map(
      (isStale): Operation =>
        fleet =>
          fleet.deleteObsoleteBodies(isStale),
    ),
  },
  {
    weight: 3,
    arbitrary: fc.nat().map(
      (index): Operation =>
        fleet =>
          fleet.complete(index),
    ),
  },
  {
    weight: 3,
    arbitrary: fc.constant((fleet: FleetModel) => fleet.deliverDelayed()),
  },
);

const operationsArbitrary = fc.array(operationArbitrary, {
  minLength: 50,
  maxLength: 150,
});

describe('acceptance and propagation compared with a single copy', () => {
  it('never lose, duplicate or revert a change', () => {
    let accepted = 0;
    let conflicts = 0;
    fc.assert(
      fc.property(operationsArbitrary, operations => {
        const fleet = new FleetModel(PROXIES);
        for (const operation of operations) {
          operation(fleet);
          checkContents(fleet);
        }
        fleet.recoverFromFaults();
        checkContents(fleet);
        checkResults(fleet);
        checkConvergence(fleet);
        for (const {kind} of fleet.results().values()) {
          if (kind === 'accepted') accepted += 1;
          if (kind === 'conflict') conflicts += 1;
        }
      }),
      {seed: 20_260_106, numRuns: 2_500},
    );
    expect(accepted).toBeGreaterThan(5_000);
    expect(conflicts).toBeGreaterThan(1_000);
  });
});

/** Checks that every proxy has exactly the contents of its revision. */
function checkContents(fleet: FleetModel): void {
  for (const {snapshot} of fleet.proxies) {
    const expected = fleet.reference.revisions[snapshot.revision];
    const actual = new Map(
      [...snapshot.resources].map(([key, {version, resource}]) => [
        key,
        {version, resource},
      ]),
    );
    if (!sameContents(actual, expected)) {
      expect(actual).toEqual(new Map(expected));
    }
  }
}

/** Checks each result against the single copy. */
function checkResults(fleet: FleetModel): void {
  for (const [writeId, result] of fleet.results()) {
    const applied = fleet.reference.applied.get(writeId);
    if (result.kind === 'accepted') {
      expect({kind: 'accepted', ...applied}).toEqual(result as never);
    } else if (result.kind !== 'unknown') {
      expect(applied).toEqual(undefined);
    }
  }
}

/** Checks that every proxy has the latest revision after the faults end. */
function checkConvergence(fleet: FleetModel): void {
  const latest = fleet.reference.revisions.length - 1;
  for (const {snapshot} of fleet.proxies) {
    expect(snapshot.revision).toEqual(latest);
  }
}

function sameContents(
  actual: ReadonlyMap<string, unknown>,
  expected: ReadonlyMap<string, unknown> | undefined,
): boolean {
  return (
    JSON.stringify([...actual].sort()) ===
    JSON.stringify([...(expected ?? [])].sort())
  );
}
