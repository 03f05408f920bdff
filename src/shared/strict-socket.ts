/** TCP connection whose end is one in order and never a reset, for readers of responses that end with their connection. */
import {Socket, type TcpNetConnectOpts} from 'node:net';

/** Converts the error that ends a connection. */
export type FaultConversion = (error: Error) => Error;

/**
Socket that reads on in the next turn of the event loop after each read.

libuv reports a hang-up that it finds together with data as a regular end, even if the connection was reset; a read that returns no data returns the reset.
*/
class StrictSocket extends Socket {
  readonly #convertFault: FaultConversion;

  constructor(convertFault: FaultConversion) {
    super();
    this.#convertFault = convertFault;
  }

  /** Stops reading after each chunk; `_read` starts it again. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    const mayPushMore = super.push(chunk, encoding);
    return chunk === null && mayPushMore;
  }

  override _read(size: number): void {
    setImmediate(() => {
      if (!this.destroyed) {
        super._read(size);
      }
    });
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(error, fault => {
      callback(fault ? this.#convertFault(fault) : fault);
    });
  }
}

/** Opens a connection; `convertFault` converts the error that ends it. */
export const connectStrictly = (options: TcpNetConnectOpts, convertFault: FaultConversion = error => error): Socket =>
  new StrictSocket(convertFault).connect(options);
