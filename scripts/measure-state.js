/**
 * Measures the memory of the fleet state cached by every node: configuration,
 * group views, members and metrics. Repeats this for several sizes and fits a
 * line to each.
 *
 * Usage: node --expose-gc scripts/measure-state.js
 */
import process from 'node:process';
import {resourceSchema} from '@sapphireglade/decisions';
import {GroupViews, MetricsRegistry} from '@sapphireglade/proxy';

import {printFit} from './slopes/fit.js';

const SIZES = [100, 300, 600, 1_100, 2_200];
const INSTANCES = ['a', 'b', 'c'];
const BYTES_PER_KILOBYTE = 1_000;

for (const [name, build] of Object.entries({
  configuration: buildConfiguration,
  groupViews: buildGroupViews,
  members: buildMembers,
  requestMetrics: buildRequestMetrics,
})) {
  for (const size of SIZES) measureHeapKb(build, size);
  const points = SIZES.map(size => ({
    size,
    heapKb: measureHeapKb(build, size),
  }));
  console.log(name);
  console.table(points);
  printFit(points, 'size', 'heapKb');
}
const groupJson = JSON.stringify(createGroup(1));
console.log(`One group as JSON: ${groupJson.length} bytes.`);

/** Returns the heap size of a structure, in kilobytes. */
function measureHeapKb(build, size) {
  globalThis.gc();
  const before = process.memoryUsage().heapUsed;
  const structure = build(size);
  globalThis.gc();
  const after = process.memoryUsage().heapUsed;
  return structure === undefined ? 0 : (after - before) / BYTES_PER_KILOBYTE;
}

/** Builds a configuration with the given number of groups, parsed from JSON. */
function buildConfiguration(groups) {
  const resources = new Map();
  for (let index = 0; index < groups; index += 1) {
    const body = JSON.parse(JSON.stringify(createGroup(index)));
    resources.set(`group/ledger-${index}`, {
      version: 1,
      resource: resourceSchema.parse(body),
    });
  }
  return {revision: groups, resources};
}

function createGroup(index) {
  return {
    kind: 'group',
    name: `ledger-${index}`,
    allowedAgeMs: 1_000,
    instances: INSTANCES.map((name, zone) => ({
      name: `ledger-${index}-${name}`,
      zone: `zone-${(index + zone) % 7}`,
      address: `10.${zone}.${index >> 8}.${index & 255}`,
      port: 5_432,
      slots: 3,
      connectionLimit: 20,
    })),
  };
}

function buildGroupViews(groups) {
  const views = new GroupViews();
  for (let index = 0; index < groups; index += 1) {
    const termStarts = [1, 2, 3].map(term => ({term, position: term * 1_000}));
    const primary = `ledger-${index}-a`;
    views.offer({group: `ledger-${index}`, term: 3, primary, termStarts});
  }
  return views;
}

function buildMembers(members) {
  return Array.from({length: members}, (_, index) => ({
    name: `entry-${index}`,
    zone: `zone-${index % 7}`,
    region: `region-${index % 3}`,
    address: `10.0.${index >> 8}.${index & 255}`,
    isLeaving: false,
  }));
}

/** Builds the request metrics of a proxy that serves that many groups. */
function buildRequestMetrics(groups) {
  const metrics = new MetricsRegistry();
  for (let index = 0; index < groups; index += 1) {
    const group = `ledger-${index}`;
    for (const access of ['read', 'write']) {
      const name = 'sapphireglade_request_duration_seconds';
      metrics.recordDuration(name, 3, {group, access});
      const labels = {group, access, outcome: 'done'};
      metrics.increment('sapphireglade_requests_total', labels);
    }
  }
  return metrics;
}
