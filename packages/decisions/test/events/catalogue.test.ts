import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EventDefinition, EventFieldMap} from '../../src/index.js';
import {describeEvent, EVENT_CATALOGUE} from '../../src/index.js';

describe('EVENT_CATALOGUE', () => {
  for (const [kind, definition] of Object.entries(EVENT_CATALOGUE)) {
    it(`has a complete sentence for ${kind}`, () => {
      const sentence = renderWithAnyFields(definition);
      expect(sentence).toMatchRegex(/^\S.*[.]$/s);
      expect(sentence).not.toMatchRegex(/undefined|NaN|\[object/);
    });

    it(`names ${kind} in lower case with hyphens`, () => {
      expect(kind).toMatchRegex(/^[a-z]+(-[a-z]+)+$/);
    });
  }
});

describe('describeEvent', () => {
  it('shows the fields of an unknown kind', () => {
    const sentence = describeEvent({kind: 'from-the-future', fields: {a: 1}});
    expect(sentence).toEqual('Unknown kind from-the-future (a=1).');
  });
});

describe('a reason that ends with a full stop', () => {
  it('does not produce two full stops', () => {
    const fields = {peer: 'entry-2', reason: 'It is silent.'};
    const sentence = describeEvent({kind: 'link-closed', fields});
    expect(sentence).toEqual('The link to entry-2 closed: It is silent.');
  });
});

/** Formats a message with the same string or number for every field. */
function renderWithAnyFields(definition: unknown): string {
  const {formatMessage: sentence} =
    definition as EventDefinition<EventFieldMap>;
  const fieldsOf = (value: string | number): EventFieldMap =>
    new Proxy({}, {get: () => value});
  try {
    return sentence(fieldsOf('4'));
  } catch {
    return sentence(fieldsOf(3));
  }
}
