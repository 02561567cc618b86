import {createHmac} from 'node:crypto';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  decodeSessionToken,
  encodeSessionToken,
  ErrorKind,
  resourceSchema,
  SapphiregladeError,
} from '../../src/index.js';

const SECRETS = ['0123456789abcdef0123456789abcdef'];

const OPTIONS = {seed: 20_262, numRuns: 1_000};

const GROUP = {
  kind: 'group',
  name: 'ledger-1',
  instances: [
    {
      name: 'a',
      zone: 'lhr-depot',
      address: '10.0.0.1',
      port: 5_432,
      slots: 3,
      connectionLimit: 20,
      state: 'active',
    },
  ],
  allowedAgeMs: 1_000,
};

/** Runs an action that may only fail with the given kind of error. */
function expectOnly(kind: ErrorKind, action: () => unknown): void {
  try {
    action();
  } catch (error) {
    const actual = error instanceof SapphiregladeError ? error.kind : error;
    expect(actual).toEqual(kind);
  }
}

/** Signs a payload like a proxy of this fleet. */
function toToken(text: string): string {
  const payload = Buffer.from(text).toString('base64url');
  const code = createHmac('sha256', SECRETS[0] ?? '')
    .update(`v1.${payload}`)
    .digest()
    .subarray(0, 16);
  return ['v1', payload, code.toString('base64url')].join('.');
}

describe('session tokens under random input', () => {
  const kind = ErrorKind.InvalidSessionToken;

  it('are decoded or refused with one kind of error', () => {
    fc.assert(
      fc.property(fc.string({maxLength: 200}), text => {
        expectOnly(kind, () => decodeSessionToken(text, SECRETS));
        expectOnly(kind, () => decodeSessionToken(toToken(text), SECRETS));
      }),
      OPTIONS,
    );
  });

  it('of random JSON are decoded or refused with one kind of error', () => {
    fc.assert(
      fc.property(fc.json(), json => {
        expectOnly(kind, () => decodeSessionToken(toToken(json), SECRETS));
      }),
      OPTIONS,
    );
  });

  it('with one changed character never crash the decoder', () => {
    const session = {
      revision: 3,
      positions: {'ledger-1': {term: 2, position: 17}},
    };
    const token = encodeSessionToken(session, SECRETS);
    fc.assert(
      fc.property(
        fc.nat(),
        fc.string({minLength: 1, maxLength: 1}),
        (at, by) => {
          const index = at % token.length;
          const changed = token.slice(0, index) + by + token.slice(index + 1);
          expectOnly(kind, () => decodeSessionToken(changed, SECRETS));
        },
      ),
      OPTIONS,
    );
  });

  it('above the length limit are refused', () => {
    expectOnly(kind, () => decodeSessionToken('x'.repeat(10_000_000), SECRETS));
    expect(() => decodeSessionToken('x'.repeat(10_000_000), SECRETS)).toThrow();
  });
});

describe('resources under random input', () => {
  it('of random JSON are refused', () => {
    fc.assert(
      fc.property(fc.jsonValue(), value => {
        expect(resourceSchema.safeParse(value).success).toEqual(false);
      }),
      OPTIONS,
    );
  });

  it('with one random field conform to the schema if accepted', () => {
    const fields = fc.constantFrom(...Object.keys(GROUP));
    fc.assert(
      fc.property(fields, fc.jsonValue(), (field, value) => {
        const result = resourceSchema.safeParse({...GROUP, [field]: value});
        if (!result.success) return;
        expect(result.data.kind).toEqual('group');
        expect(result.data.name.length <= 63).toEqual(true);
      }),
      OPTIONS,
    );
  });

  it('with one random field of an instance stay within its limits if accepted', () => {
    const fields = fc.constantFrom(...Object.keys(GROUP.instances[0] ?? {}));
    fc.assert(
      fc.property(fields, fc.jsonValue(), (field, value) => {
        const instances = [{...GROUP.instances[0], [field]: value}];
        const result = resourceSchema.safeParse({...GROUP, instances});
        if (!result.success || result.data.kind !== 'group') return;
        const [instance] = result.data.instances;
        expect((instance?.connectionLimit ?? 0) >= 5).toEqual(true);
        expect((instance?.port ?? 0) <= 65_535).toEqual(true);
      }),
      OPTIONS,
    );
  });

  it('with an unknown field are refused', () => {
    expect(resourceSchema.safeParse(GROUP).success).toEqual(true);
    const withMore = {...GROUP, more: 1};
    expect(resourceSchema.safeParse(withMore).success).toEqual(false);
  });
});
