import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  AcceptanceEffect,
  AcceptanceEvent,
  AcceptanceResult,
  ChangeProposal,
  ConfigurationHead,
} from '@sapphireglade/decisions';
import {
  advanceAcceptance,
  beginAcceptance,
  decodeHead,
  encodeHead,
  HEAD_KEY,
  Outcome,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {PlatformStore} from '../store/index.js';

/** Writes configuration changes of operators to the store. */
export class ChangeAcceptor {
  /** @param store - The platform's store. */
  constructor(private readonly store: PlatformStore) {}

  /**
   * Processes one change until it is accepted or refused.
   *
   * @param change - The change, without its write identifier.
   * @param timeoutMs - Time that the operator waits, in milliseconds.
   */
  async accept(
    change: Omit<ChangeProposal, 'writeId'>,
    timeoutMs: number,
  ): Promise<AcceptanceResult> {
    const proposal = {...change, writeId: randomUUID()};
    let step = beginAcceptance(proposal, performance.now() + timeoutMs);
    while (step.effect.type !== 'finish') {
      const event = await this.executeEffect(step.effect);
      const input = {nowMs: performance.now(), random: Math.random()};
      step = advanceAcceptance(step.state, event, input);
    }
    return step.effect.result;
  }

  /** Executes one effect and returns its result as the next event. */
  private async executeEffect(
    effect: Exclude<AcceptanceEffect, {type: 'finish'}>,
  ): Promise<AcceptanceEvent> {
    if (effect.type === 'wait') {
      await sleep(effect.durationMs);
      return {type: 'retry-due'};
    }
    try {
      return await this.callStore(effect);
    } catch (error) {
      const isRefused =
        error instanceof SapphiregladeError && error.outcome === Outcome.NotRun;
      return {type: 'store-failed', mayHaveTakenEffect: !isRefused};
    }
  }

  private async callStore(
    effect: Exclude<AcceptanceEffect, {type: 'finish' | 'wait'}>,
  ): Promise<AcceptanceEvent> {
    switch (effect.type) {
      case 'read-head': {
        const {version, value} = await this.store.get(HEAD_KEY);
        const head = decodeHead(value);
        return {type: 'head-read', stored: {storeVersion: version, head}};
      }
      case 'write-body':
        return this.writeBody(effect.key, effect.value);
      case 'swap-head':
        return this.swapHead(effect.expectedStoreVersion, effect.head);
    }
  }

  /**
   * Writes a body; succeeds if an earlier attempt already wrote the same value.
   */
  private async writeBody(
    key: string,
    value: string,
  ): Promise<AcceptanceEvent> {
    const request = {key, expectedVersion: 0, value};
    const answer = await this.store.compareAndSwap(request);
    if (answer.swapped || answer.value === value) return {type: 'body-written'};
    return {type: 'store-failed', mayHaveTakenEffect: false};
  }

  private async swapHead(
    expectedVersion: number,
    head: ConfigurationHead,
  ): Promise<AcceptanceEvent> {
    const answer = await this.store.compareAndSwap({
      key: HEAD_KEY,
      expectedVersion,
      value: encodeHead(head),
    });
    const storeVersion = answer.version;
    const storedHead = answer.swapped ? head : decodeHead(answer.value);
    return {
      type: 'swap-answered',
      swapped: answer.swapped,
      stored: {storeVersion, head: storedHead},
    };
  }
}
