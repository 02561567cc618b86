import type {InstanceDirectory} from '../directory/index.js';
import type {GroupRegistry} from '../groups/index.js';
import type {RunningSettings} from '../settings/index.js';
import type {ControlConnections} from './control-connections.js';
import {GroupDepartures} from './group-departures.js';
import {OrderHistory} from './order-history.js';
import {OutstandingOrders} from './outstanding-orders.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/**
 * Creates what a change of primary has to know of the time before it began.
 *
 * @param directory - The instances.
 * @param groups - The groups whose records are observed.
 * @param control - Connections to the instances.
 * @param settings - The settings in force.
 */
export function observeGroups(
  directory: InstanceDirectory,
  groups: Pick<GroupRegistry, 'onGroup'>,
  control: ControlConnections,
  settings: RunningSettings,
): Pick<
  PrimaryChangeContext,
  'departures' | 'outstandingOrders' | 'orderHistory'
> {
  const returnWithinMs = (): number => settings.current.instanceReturnWithinMs;
  return {
    departures: new GroupDepartures(directory, groups, control, returnWithinMs),
    outstandingOrders: new OutstandingOrders(groups),
    orderHistory: new OrderHistory(groups),
  };
}
