import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  CONNECTION_LIMIT,
  ShareFleet,
  SHARE_SIZE,
  SwapFault,
} from './share-fleet.js';

const PROXIES = 3;
const MAXIMUM_HOLDERS = CONNECTION_LIMIT / SHARE_SIZE;

type Operation = (fleet: ShareFleet) => void;

const proxyArbitrary = fc.nat({max: PROXIES - 1});
const faultArbitrary = fc.option(fc.constantFrom(...Object.values(SwapFault)), {
  nil: SwapFault.None,
  freq: 1,
});
const swapArbitrary = fc.tuple(proxyArbitrary, faultArbitrary).map(
  ([proxy, fault]): Operation =>
    fleet =>
      fleet.swap(proxy, fault),
);
const requestArbitrary = fc.tuple(proxyArbitrary, fc.boolean()).map(
  ([proxy, isWanted]): Operation =>
    fleet =>
      fleet.setWantsShare(proxy, isWanted),
);
const restartArbitrary = fc.tuple(proxyArbitrary, fc.boolean()).map(
  ([proxy, closes]): Operation =>
    fleet =>
      fleet.restart(proxy, closes),
);
const deliverArbitrary = fc.constant((fleet: ShareFleet): void =>
  fleet.deliverDelayed(),
);
const dropEndedArbitrary = fc.constant((fleet: ShareFleet): void =>
  fleet.dropEndedConnections(),
);
const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
  {weight: 8, arbitrary: swapArbitrary},
  {weight: 6, arbitrary: onProxy((fleet, proxy) => fleet.read(proxy))},
  {weight: 6, arbitrary: onProxy((fleet, proxy) => fleet.openAll(proxy))},
  {weight: 3, arbitrary: onProxy((fleet, proxy) => fleet.closeAll(proxy))},
  {weight: 3, arbitrary: requestArbitrary},
  {
    weight: 2,
    arbitrary: onProxy((fleet, proxy) => fleet.releaseInDoubt(proxy)),
  },
  {weight: 1, arbitrary: restartArbitrary},
  {weight: 2, arbitrary: deliverArbitrary},
  {weight: 1, arbitrary: dropEndedArbitrary},
);

describe('connection shares against the count of the instance', () => {
  it('never allow more connections than the limit of the instance', () => {
    let mostOpen = 0;
    const operationsArbitrary = fc.array(operationArbitrary, {
      minLength: 30,
      maxLength: 200,
    });
    fc.assert(
      fc.property(operationsArbitrary, operations => {
        const fleet = new ShareFleet(PROXIES);
        for (const operation of operations) {
          operation(fleet);
          if (fleet.open > CONNECTION_LIMIT)
            expect(fleet.open).toEqual(CONNECTION_LIMIT);
          mostOpen = Math.max(mostOpen, fleet.open);
        }
      }),
      {seed: 20_260_107, numRuns: 10_000},
    );
    expect(mostOpen).toEqual(CONNECTION_LIMIT);
  });

  it('go to the proxies that request them once faults have ended', () => {
    const operationsArbitrary = fc.array(operationArbitrary, {maxLength: 100});
    fc.assert(
      fc.property(operationsArbitrary, operations => {
        const fleet = new ShareFleet(PROXIES);
        for (const operation of operations) operation(fleet);
        settle(fleet);
        expect(fleet.holders).toEqual(MAXIMUM_HOLDERS);
      }),
      {seed: 20_260_108, numRuns: 1_000},
    );
  });
});

/** Lets the first proxies request shares and the others release theirs. */
function settle(fleet: ShareFleet): void {
  fleet.dropEndedConnections();
  for (let round = 0; round < 3; round += 1) {
    for (let proxy = PROXIES - 1; proxy >= 0; proxy -= 1) {
      fleet.setWantsShare(proxy, proxy < MAXIMUM_HOLDERS);
      fleet.closeAll(proxy);
      fleet.read(proxy);
      fleet.swap(proxy, SwapFault.None);
      fleet.swap(proxy, SwapFault.None);
    }
  }
}

function onProxy(
  run: (fleet: ShareFleet, proxy: number) => void,
): fc.Arbitrary<Operation> {
  return proxyArbitrary.map(
    (proxy): Operation =>
      fleet =>
        run(fleet, proxy),
  );
}
