/** Client of the admin listener of a process. */
import {Agent, request} from 'undici';
import {getProperty} from '../objects/json-schema.js';
import {fail, ok, type Result} from '../shared/result.js';
import {createStrictConnector} from '../shared/strict-connector.js';
import {commandError, type CommandError} from './error.js';

const REQUEST_TIMEOUT_MS = 3000;

const FIRST_SUCCESS_STATUS = 200;
const LAST_SUCCESS_STATUS = 299;

const dispatcher = new Agent({connect: createStrictConnector({timeoutMs: REQUEST_TIMEOUT_MS})});

const parseBody = (content: string): unknown => {
  try {
    return JSON.parse(content);
  } catch {
    return content;
  }
};

const errorMessage = (body: unknown, status: number): string => {
  const message = getProperty(body, 'message');
  return typeof message === 'string' ? message : `the process answered with status ${status}`;
};

/** Sends a request to the admin listener of a process and returns the response body, parsed when it is JSON. */
export const callAdmin = async (address: string, method: 'GET' | 'POST', path: string): Promise<Result<unknown, CommandError>> => {
  try {
    const {statusCode, body} = await request(`http://${address}${path}`, {method, dispatcher, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)});
    const content = parseBody(await body.text());
    return statusCode >= FIRST_SUCCESS_STATUS && statusCode <= LAST_SUCCESS_STATUS ? ok(content) : fail(commandError('failed', errorMessage(content, statusCode)));
  } catch (error) {
    const code = getProperty(error, 'code');
    const cause = typeof code === 'string' ? code : (error as Error).message;
    return fail(commandError('unreachable', `no answer from the process at ${address} (${cause}); check the admin address and that jujubewelld runs`));
  }
};

/** Returns the sequence of the configuration in force from the status of a process. */
export const inForceSequence = (status: unknown): number | undefined => {
  const candidates = [getProperty(getProperty(status, 'fleet'), 'sequence'), getProperty(getProperty(status, 'configuration'), 'sequence'), getProperty(status, 'sequence')];
  return candidates.find((candidate): candidate is number => typeof candidate === 'number');
};

/** Returns the highest sequence that one of the processes has in force; undefined when none responds. */
export const highestInForceSequence = async (addresses: readonly string[]): Promise<number | undefined> => {
  const responses = await Promise.all(addresses.map(async address => callAdmin(address, 'GET', '/status')));
  const sequences = responses.flatMap(response => response.kind === 'ok' ? [inForceSequence(response.value) ?? 0] : []);
  return sequences.length === 0 ? undefined : Math.max(...sequences);
};
