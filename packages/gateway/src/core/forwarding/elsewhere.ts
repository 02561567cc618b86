import {ErrorKind} from '@sapphireglade/decisions';

/** Errors of one owner after which another owner may do better; nothing has run then. */
export const ELSEWHERE: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  ErrorKind.NoOwner,
  ErrorKind.ShuttingDown,
  ErrorKind.NotReady,
  ErrorKind.NoConnection,
  ErrorKind.NoPrimary,
  ErrorKind.Overloaded,
]);
