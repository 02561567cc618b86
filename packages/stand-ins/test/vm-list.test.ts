import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  ControlClient,
  VmListService,
  vmListSettingsSchema,
  waitUntil,
} from '../src/index.js';
import {loopbackAddress} from './support/loopback-address.js';

const HIDING_ADDRESS = loopbackAddress(3, 1);
const SHOWING_ADDRESS = loopbackAddress(3, 2);
const PORT = 7100;
const CONTROL_PORT = 7101;

const VM = {
  name: 'lhr-depot-1',
  zone: 'lhr-depot',
  region: 'punjab',
  address: '10.0.0.1',
  state: 'live',
};

const LEAVING = {vms: [{...VM, state: 'leaving'}]};
const HOUR_MS = 3_600_000;
const LAG_MS = 50;
const HANG_TIMEOUT_MS = 60_000;

describe('VmListService', () => {
  it('hides a change during the lag', async () => {
    await withList(HIDING_ADDRESS, HOUR_MS, async (published, control) => {
      await control.post('/vms', LEAVING);
      expect(await published.get('/vms')).toEqual({vms: [VM]});
    });
  });

  it('shows a change after the lag', async () => {
    await withList(SHOWING_ADDRESS, LAG_MS, async (published, control) => {
      await control.post('/vms', LEAVING);
      await waitUntil(
        'The change is shown',
        async () =>
          JSON.stringify(await published.get('/vms')) ===
          JSON.stringify(LEAVING),
        HANG_TIMEOUT_MS,
      );
    });
  });
});

/** Runs a check against a VM list with the given lag. */
async function withList(
  address: string,
  lagMs: number,
  check: (published: ControlClient, control: ControlClient) => Promise<void>,
): Promise<void> {
  const list = new VmListService(
    vmListSettingsSchema.parse({
      address,
      port: PORT,
      controlPort: CONTROL_PORT,
      lagMs,
      vms: [VM],
    }),
  );
  await list.start();
  try {
    await check(
      new ControlClient(`http://${address}:${PORT}`),
      new ControlClient(`http://${address}:${CONTROL_PORT}`),
    );
  } finally {
    await list.stop();
  }
}
