/** Addresses of the form `ip:port`. */
import {isIP, type Server} from 'node:net';

/** Host and port of an address. */
export type HostAndPort = {host: string; port: number};

/** Splits an address into host and port. */
export const splitAddress = (address: string): HostAndPort => {
  const colon = address.lastIndexOf(':');
  return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
};

const PORT_MAX = 65_535;

/** Whether a text is an address that can be connected to: an IP address, and a port from 1 to 65,535. Connecting to another one throws. */
export const isAddress = (text: string): boolean => {
  const {host, port} = splitAddress(text);
  return isIP(host) !== 0 && /:\d{1,5}$/u.test(text) && port >= 1 && port <= PORT_MAX;
};

/** Starts a server on an address; rejects when the address cannot be used. `backlog` is the number of connections that may wait to be accepted. */
export const listenOn = async (server: Server, address: string, backlog?: number): Promise<void> => new Promise((resolve, reject) => {
  server.once('error', reject);
  server.listen({...splitAddress(address), backlog}, () => {
    server.off('error', reject);
    resolve();
  });
});
