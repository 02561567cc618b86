import {Outcome} from '@sapphireglade/decisions';
import type {CallerClient, Fleet} from '@sapphireglade/stand-ins';
import {waitUntil} from '@sapphireglade/stand-ins';

/** Time allowed until a proxy serves a group, in milliseconds. */
const WARM_UP_TIMEOUT_MS = 20_000;

/**
 * Waits until every proxy serves reads of every group.
 *
 * @returns Client of each proxy, by the name of its VM.
 */
export async function warmUp(
  fleet: Fleet,
  sockets: number,
  caller?: string,
): Promise<Map<string, CallerClient>> {
  const clients = new Map(
    fleet.vms.map(vm => [vm, fleet.client(vm, caller, sockets)]),
  );
  for (const [vm, client] of clients) {
    for (const {name} of fleet.plan.deployment.groups) {
      await waitUntil(
        `${vm} serves ${name}`,
        () => servesRead(client, name),
        WARM_UP_TIMEOUT_MS,
      );
    }
  }
  return clients;
}

async function servesRead(
  client: CallerClient,
  group: string,
): Promise<boolean> {
  const {answer} = await client.run({
    group,
    sql: 'SELECT * FROM bookings WHERE id = ?',
    parameters: ['none'],
    access: 'read',
    allowedAgeMs: 0,
  });
  return answer.outcome === Outcome.Done;
}
