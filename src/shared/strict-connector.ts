/** Connections of undici that do not take a reset for the end of a response. */
import {buildConnector, errors} from 'undici';
import {connectStrictly, type FaultConversion} from './strict-socket.js';

/** Options of a connector. */
export type StrictConnectorOptions = {
  /** Connect timeout, in milliseconds. @default 10000 */
  timeoutMs?: number;
};

/** That of undici itself. */
const CONNECT_TIMEOUT_DEFAULT_MS = 10_000;
const HTTP_PORT = 80;

/** Undici completes a response without a length when its connection fails with `ECONNRESET`. */
const convertReset: FaultConversion = error =>
  (error as NodeJS.ErrnoException).code === 'ECONNRESET' ? new errors.SocketError('the other side reset the connection') : error;

const connectWithoutTls = ({hostname, port}: buildConnector.Options, timeoutMs: number, callback: buildConnector.Callback): void => {
  const socket = connectStrictly({
    host: hostname, port: port === '' ? HTTP_PORT : Number(port), noDelay: true, keepAlive: true,
  }, convertReset);
  const timer = setTimeout(() => {
    socket.destroy(new errors.ConnectTimeoutError(`no connection to ${hostname}:${port} within ${timeoutMs} ms`));
  }, timeoutMs);
  const onFailed = (error: Error): void => {
    clearTimeout(timer);
    callback(error, null);
  };

  socket.once('error', onFailed);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.off('error', onFailed);
    callback(null, socket);
  });
};

/** Creates the `connect` option of a client, pool or agent. Connections with TLS, which marks its end by itself, are those of undici. */
export const createStrictConnector = ({timeoutMs = CONNECT_TIMEOUT_DEFAULT_MS}: StrictConnectorOptions = {}): buildConnector.connector => {
  const connectWithTls = buildConnector({timeout: timeoutMs});
  return (options, callback) => {
    if (options.protocol === 'https:') {
      connectWithTls(options, callback);
    } else {
      connectWithoutTls(options, timeoutMs, callback);
    }
  };
};
