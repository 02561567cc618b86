import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, describe, it} from 'node:test';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {loadSettings} from '@sapphireglade/runtime';
import {expect} from 'earl';
import fc from 'fast-check';
import {proxySettingsSchema} from '../../src/index.js';

const OPTIONS = {seed: 20_263, numRuns: 300};

const SETTINGS = {
  vm: 'lhr-depot-1',
  zone: 'lhr-depot',
  region: 'punjab',
  address: '127.0.0.1',
  platform: {storeUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:2'},
  sessionSecrets: ['0123456789abcdef0123456789abcdef'],
};

describe('settings under random input', () => {
  const folder = mkdtempSync(join(tmpdir(), 'sapphireglade-settings-'));
  const file = join(folder, 'settings.json');

  after(() => rmSync(folder, {recursive: true}));

  /**
   * Loads a settings text; returns the kind and message of the error, if any.
   */
  function load(text: string): {kind: ErrorKind; message: string} | undefined {
    writeFileSync(file, text);
    try {
      loadSettings(file, proxySettingsSchema);
      return undefined;
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return {kind: error.kind, message: error.message};
    }
  }

  it('of random text are refused with the file name', () => {
    fc.assert(
      fc.property(fc.string({maxLength: 200}), text => {
        const error = load(text);
        expect(error?.kind).toEqual(ErrorKind.SettingsInvalid);
        expect(error?.message ?? '').toInclude(file);
      }),
      OPTIONS,
    );
  });

  it('of random JSON are refused', () => {
    fc.assert(
      fc.property(fc.json(), json => {
        expect(load(json)?.kind).toEqual(ErrorKind.SettingsInvalid);
      }),
      OPTIONS,
    );
  });

  it('with an unknown field are refused with the field name', () => {
    const name = fc
      .stringMatching(/^[a-z]{1,12}$/)
      .filter(text => !(text in proxySettingsSchema.shape));
    fc.assert(
      fc.property(name, fc.jsonValue(), (unknown, value) => {
        const error = load(JSON.stringify({...SETTINGS, [unknown]: value}));
        expect(error?.kind).toEqual(ErrorKind.SettingsInvalid);
        expect(error?.message ?? '').toInclude(unknown);
      }),
      OPTIONS,
    );
  });

  it('with one random field are accepted or refused, without a crash', () => {
    expect(load(JSON.stringify(SETTINGS))).toEqual(undefined);
    const fields = fc.constantFrom(...Object.keys(SETTINGS));
    fc.assert(
      fc.property(fields, fc.jsonValue(), (field, value) => {
        const error = load(JSON.stringify({...SETTINGS, [field]: value}));
        expect(error?.kind ?? ErrorKind.SettingsInvalid).toEqual(
          ErrorKind.SettingsInvalid,
        );
      }),
      OPTIONS,
    );
  });
});
