/** Connection of a caller: its requests, and how it is closed without a response that looks complete or a request that runs unnoticed. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ConnectionPart} from '../client-limits/connection-account.js';
import type {ConnectionReader} from '../client-limits/connection-reader.js';
import type {Reservation} from '../held-bytes.js';

/** A connection; `pending` are its requests whose response has not ended, in their order. */
export type CallerConnection = {
  pending: Set<CallerRequest>;
  part: ConnectionPart;
  reader: ConnectionReader | undefined;
  /** Requests that were read whole and have no response yet. */
  awaitingResponse: number;
  isAnswered: boolean;
};

/** A request of a connection. */
export type CallerRequest = {
  response: ServerResponse;
  reservation: Reservation;
  /** Cancels the request; undefined before it is forwarded. */
  cancel: (() => void) | undefined;
  /** Refuses the request while its body has not arrived whole, so that it has not run. */
  refuseBody: (() => void) | undefined;
  isForwarding: boolean;
  settled: boolean;
};

/** Whether the end of a response is the end of its connection, because it states no length. */
const isUnframed = (response: ServerResponse): boolean => response.headersSent && !response.useChunkedEncodingByDefault;

/** Closes a connection. Where the end of a response is the end of the connection, a reset shows that the response is not complete. */
export const closeConnection = (socket: Socket, {pending}: Pick<CallerConnection, 'pending'>): void => {
  if ([...pending].some(({response}) => isUnframed(response))) {
    socket.resetAndDestroy();
  } else {
    socket.destroy();
  }
};

/** Closes a connection, with a response to its only request if that has not run. */
export const evictConnection = (socket: Socket, connection: CallerConnection): void => {
  const {pending, reader} = connection;
  reader?.stop();
  const [only] = pending;
  if (pending.size === 1 && only!.refuseBody !== undefined) {
    only!.refuseBody();
  } else {
    closeConnection(socket, connection);
  }
};

/** Ends the account of a request whose response has ended or whose caller has gone; returns whether it had not ended before. */
export const settleRequest = (connection: CallerConnection, request: CallerRequest): boolean => {
  if (request.settled) {
    return false;
  }

  request.settled = true;
  connection.pending.delete(request);
  if (request.isForwarding) {
    connection.awaitingResponse--;
  }

  request.reservation.release();
  request.cancel?.();
  return true;
};
