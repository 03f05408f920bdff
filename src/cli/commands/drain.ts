/** `jujubewell drain`. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import {getProperty} from '../../objects/json-schema.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {callAdmin} from '../admin.js';
import {AdminCommand, parseWholeNumber} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import type {Output} from '../output.js';

const POLL_INTERVAL_MS = 200;
const DEFAULT_TIMEOUT_SECONDS = 60;
const SECOND_MS = 1000;

/** Waits until a process has no call in flight, or has stopped. */
const waitUntilIdle = async (address: string, timeoutMs: number): Promise<boolean> => {
  const status = await callAdmin(address, 'GET', '/status');
  if (status.kind === 'error' || getProperty(status.value, 'inFlight') === 0) {
    return true;
  }

  if (timeoutMs <= 0) {
    return false;
  }

  await sleep(POLL_INTERVAL_MS);
  return waitUntilIdle(address, timeoutMs - POLL_INTERVAL_MS);
};

/** Takes a backend server out of service. */
export class DrainCommand extends AdminCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Take the backend server of a host out of service.',
    details: 'The process takes no new work for its backend server and lets calls in flight finish. With `--wait`, ends when none is left or the process has stopped.',
    examples: [['Drain a host before it is replaced', '$0 drain --admin 127.0.0.1:7104 --wait']],
  });

  wait = Option.Boolean('--wait', false, {description: 'Wait until no call is in flight'});
  timeout = Option.String('--timeout', {description: `Longest wait in seconds (default: ${DEFAULT_TIMEOUT_SECONDS})`});

  protected async run(): Promise<Result<Output, CommandError>> {
    const seconds = parseWholeNumber('--timeout', this.timeout);
    return seconds.kind === 'error'
      ? seconds
      : this.withAdmin(async address => this.drain(address, (seconds.value ?? DEFAULT_TIMEOUT_SECONDS) * SECOND_MS));
  }

  private async drain(address: string, timeoutMs: number): Promise<Result<Output, CommandError>> {
    const response = await callAdmin(address, 'POST', '/drain');
    if (response.kind === 'error') {
      return response;
    }

    if (!this.wait) {
      return ok({data: response.value, text: `${address} is draining`});
    }

    const idle = await waitUntilIdle(address, timeoutMs);
    return idle
      ? ok({data: {drained: true}, text: `${address} has no call in flight`})
      : fail(commandError('failed', `calls are still in flight at ${address} after ${timeoutMs / SECOND_MS} s; wait longer with \`--timeout\``));
  }
}
