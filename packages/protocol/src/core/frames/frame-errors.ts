import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';

/**
 * Creates the error for bytes that are not a frame.
 *
 * @param cause - What the decoder or the schema reported.
 */
export function createMalformedFrameError(cause: unknown): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.FrameMalformed,
    'The frame cannot be decoded.',
    {cause},
  );
}

/**
 * Creates the error for a frame or message above its limit.
 *
 * @param length - Its length, in bytes.
 * @param limit - The limit, in bytes.
 */
export function createFrameTooLongError(
  length: number,
  limit: number,
): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.FrameTooLong,
    `The frame has ${length} bytes; ${limit} are allowed.`,
  );
}
