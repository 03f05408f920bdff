/** Allocates free loopback ports for child processes. */
import {createServer} from 'node:net';
import process from 'node:process';

/** Allocated ports stay below 32768, where the ephemeral port range of Linux starts, so that no outgoing connection takes one before its listener starts. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

const isFree = async (port: number): Promise<boolean> => new Promise(resolve => {
  const server = createServer();
  server.once('error', () => {
    resolve(false);
  });
  server.listen(port, '127.0.0.1', () => {
    server.close(() => {
      resolve(true);
    });
  });
});

/** Hands out free loopback addresses, `ip:port`, each only once. */
export type PortAllocator = {next: () => Promise<string>};

/** Creates a port allocator; its first port depends on the process id, so that concurrent measurements start at different ports. */
export const createPortAllocator = (): PortAllocator => {
  let offset = (process.pid * 211) % PORT_COUNT;
  const next = async (): Promise<string> => {
    offset = (offset + 1) % PORT_COUNT;
    const port = FIRST_PORT + offset;
    return await isFree(port) ? `127.0.0.1:${port}` : next();
  };

  return {next};
};
