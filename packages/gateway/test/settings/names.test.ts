import {describe, it} from 'node:test';
import {expect} from 'earl';
import {gatewaySettingsSchema} from '../../src/index.js';

const SETTINGS = {
  name: 'front-1',
  availabilityZone: 'zone-1',
  regions: {'zone-1': 'east'},
  listen: {
    callers: '127.0.0.1:1',
    readiness: '127.0.0.1:2',
    peers: '127.0.0.1:3',
  },
  capacity: {
    processorShare: 1,
    processorCores: 1,
    linkMbps: 1,
    memoryMb: 1,
  },
  store: {address: '127.0.0.1:4'},
  promotion: {address: '127.0.0.1:5'},
  maximumCallers: 1,
  stopGraceS: 1,
};

describe('the names in the settings', () => {
  for (const field of ['name', 'availabilityZone']) {
    const accepted = ['front 1', 'a/b', 'é', 'x'.repeat(100)];
    for (const name of accepted) {
      it(`accept ${JSON.stringify(name)} as ${field}`, () => {
        const result = gatewaySettingsSchema.safeParse({
          ...SETTINGS,
          [field]: name,
        });
        expect(result.success).toEqual(true);
      });
    }

    const rejected = ['', 'a\r\nb', 'a\0', 'a\tb', '\ud800', 'é'.repeat(51)];
    for (const name of rejected) {
      it(`reject ${JSON.stringify(name)} as ${field}`, () => {
        const result = gatewaySettingsSchema.safeParse({
          ...SETTINGS,
          [field]: name,
        });
        expect(result.error?.issues.map(({path}) => path)).toEqual([[field]]);
      });
    }
  }
});
