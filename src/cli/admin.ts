/** Client of the admin listener of a process. */
import {getProperty} from '../objects/json-schema.js';
import {fail, ok, type Result} from '../shared/result.js';
import {commandFault, type CommandFault} from './fault.js';

const TIMEOUT_MS = 3000;

const parse = (content: string): unknown => {
  try {
    return JSON.parse(content);
  } catch {
    return content;
  }
};

const messageOf = (body: unknown, status: number): string => {
  const message = getProperty(body, 'message');
  return typeof message === 'string' ? message : `the process answered with status ${status}`;
};

/** Calls the admin listener of a process and returns the JSON that it answers. */
export const callAdmin = async (address: string, method: 'GET' | 'POST', path: string): Promise<Result<unknown, CommandFault>> => {
  try {
    const response = await fetch(`http://${address}${path}`, {method, signal: AbortSignal.timeout(TIMEOUT_MS)});
    const body = parse(await response.text());
    return response.ok ? ok(body) : fail(commandFault('failed', messageOf(body, response.status)));
  } catch (error) {
    const code = getProperty(getProperty(error, 'cause'), 'code');
    const cause = typeof code === 'string' ? code : (error as Error).message;
    return fail(commandFault('unreachable', `no answer from the process at ${address} (${cause}); check the admin address and that jujubewelld runs`));
  }
};

/** Finds the sequence of the configuration in force in a status. */
export const inForceSequence = (status: unknown): number | undefined => {
  const candidates = [getProperty(getProperty(status, 'fleet'), 'sequence'), getProperty(getProperty(status, 'configuration'), 'sequence'), getProperty(status, 'sequence')];
  return candidates.find((candidate): candidate is number => typeof candidate === 'number');
};

/** Asks processes for the highest sequence in force; undefined when none answers. */
export const highestInForce = async (addresses: readonly string[]): Promise<number | undefined> => {
  const answers = await Promise.all(addresses.map(async address => callAdmin(address, 'GET', '/status')));
  const sequences = answers.flatMap(answer => answer.kind === 'ok' ? [inForceSequence(answer.value) ?? 0] : []);
  return sequences.length === 0 ? undefined : Math.max(...sequences);
};
