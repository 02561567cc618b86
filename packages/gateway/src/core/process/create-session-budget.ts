import {maximumBytesOfSessions, SessionBudget} from '@sapphireglade/decisions';
import type {RunningSettings} from '../settings/index.js';

/** Creates the budget of all sessions, which follows the memory of the settings. */
export function createSessionBudget(settings: RunningSettings): SessionBudget {
  return new SessionBudget(() =>
    maximumBytesOfSessions(settings.current.capacity.memoryMb),
  );
}
