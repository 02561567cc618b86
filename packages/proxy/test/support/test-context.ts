import type {ProxyContext} from '../../src/index.js';
import {createProxyContext, proxySettingsSchema} from '../../src/index.js';
import {hashKey} from '@sapphireglade/stand-ins';

export const OPERATOR = {name: 'amina', key: 'the key'};

/** Creates the context of a proxy that logs only errors. */
export function createTestContext(
  overrides: Readonly<Record<string, unknown>> = {},
): ProxyContext {
  return createProxyContext(
    proxySettingsSchema.parse({
      vm: 'entry-1',
      zone: 'zone-a',
      region: 'region',
      address: '127.0.0.1',
      platform: {
        storeUrl: 'http://127.0.0.1:9',
        vmListUrl: 'http://127.0.0.1:9',
      },
      sessionSecrets: ['0'.repeat(64)],
      operators: [{name: OPERATOR.name, ...hashKey(OPERATOR.key)}],
      logging: {level: 'error'},
      ...overrides,
    }),
  );
}
