/** Small helpers around Node's HTTP server. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {splitAddress} from '../../shared/address.js';

/** Listens on an address; resolves to the bound one. */
export const listen = async (server: Server, address: string): Promise<string> => new Promise((resolve, reject) => {
  server.once('error', reject);
  server.listen(splitAddress(address), () => {
    const bound = server.address() as AddressInfo;
    resolve(`${bound.address}:${bound.port}`);
  });
});

/** Reads the whole body of a request. */
export const readBody = async (request: IncomingMessage): Promise<Buffer> => Buffer.concat(await request.toArray() as Buffer[]);

/** First value of a request header; undefined when it is missing. */
export const firstHeaderValue = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Sends a response, unless one was sent or the connection is closed. */
export const respond = (response: ServerResponse, status: number, body: Buffer | string = '', headers: Record<string, string> = {}): void => {
  if (!response.destroyed && !response.headersSent) {
    response.writeHead(status, {'content-length': Buffer.byteLength(body), ...headers});
    response.end(body);
  }
};

/** Sends a value as JSON. */
export const respondJson = (response: ServerResponse, value: unknown): void => {
  respond(response, 200, JSON.stringify(value), {'content-type': 'application/json'});
};
