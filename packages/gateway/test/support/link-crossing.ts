import {SapphiregladeError} from '@sapphireglade/decisions';
import {FrameKind, FrameReader, encodeFrame} from '@sapphireglade/protocol';
import {
  decodeExecution,
  decodeResponse,
  encodeError,
  encodeExecution,
  encodeReply,
  ForwardedKind,
  forwardedSchema,
} from '../../src/core/forwarding/messages.js';
import type {ExecutionRequest, InstanceReply} from '../../src/index.js';

/** Age of a request when its owner decodes it, in milliseconds. */
const REQUEST_AGE_MS = 1;

/** Returns a request as the owner of its group reads it from a link. */
export function carryRequestOverLink(
  request: ExecutionRequest,
): ExecutionRequest {
  const execution = encodeExecution(request);
  const message = forwardedSchema.parse(
    carryOverLink({kind: ForwardedKind.Statement, execution}),
  );
  if (message.kind !== ForwardedKind.Statement)
    throw new Error(`The message became a ${message.kind}.`);
  return decodeExecution(message.execution, REQUEST_AGE_MS);
}

/** Returns a reply as an entry proxy reads it from a link. */
export function carryReplyOverLink(reply: InstanceReply): InstanceReply {
  const response = decodeResponse(carryOverLink(encodeReply(reply, undefined)));
  if (response === undefined || !('reply' in response))
    throw new Error('The reply could not be decoded.');
  return response.reply;
}

/** Returns an error as an entry proxy reads it from a link. */
export function carryErrorOverLink(error: unknown): SapphiregladeError {
  const response = decodeResponse(carryOverLink(encodeError(error)));
  if (response instanceof SapphiregladeError) return response;
  throw new Error('The error could not be decoded.');
}

/** Encodes a body as a frame and decodes the bytes. */
function carryOverLink(body: unknown): unknown {
  const bytes = encodeFrame({
    kind: FrameKind.Response,
    clock: {wallMs: 0, counter: 0},
    correlation: 0,
    body,
  });
  const [frame] = [...new FrameReader().push(bytes)];
  if (frame?.kind !== FrameKind.Response)
    throw new Error('The frame is incomplete.');
  return frame.body;
}
