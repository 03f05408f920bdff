/** `jujubewell status`. */
import {Command} from 'clipanion';
import {getProperty} from '../../objects/json-schema.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {callAdmin, inForceSequence} from '../admin.js';
import {AdminCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import {formatTable, type Output} from '../output.js';

type StatusResult = {address: string; status: unknown; fault: string | undefined};

const formatValue = (value: unknown): string => {
  if (value === undefined || value === null) {
    return '-';
  }

  return typeof value === 'string' ? value : JSON.stringify(value);
};

/** Counts the members of the zone that the process knows. */
const memberCount = (status: unknown): unknown => {
  const members = getProperty(getProperty(getProperty(status, 'fleet'), 'zone'), 'members');
  return Array.isArray(members) ? members.length : undefined;
};

const rowOf = ({address, status, fault}: StatusResult): string[] => fault === undefined
  ? [
    address,
    formatValue(getProperty(status, 'host')),
    formatValue(getProperty(status, 'zone')),
    formatValue(getProperty(status, 'state')),
    formatValue(getProperty(getProperty(getProperty(status, 'backendServer'), 'spec'), 'service')),
    formatValue(getProperty(status, 'inFlight')),
    formatValue(memberCount(status)),
    formatValue(inForceSequence(status)),
  ]
  : [address, '-', '-', fault];

/** Shows the status of processes. */
export class StatusCommand extends AdminCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Show the status of processes.',
    details: 'Asks each admin address. The exit code is 4 when none answers. `--output json` shows everything that the processes report.',
    examples: [['Ask two processes', '$0 status --admin 127.0.0.1:7104,127.0.0.1:7204']],
  });

  protected async run(): Promise<Result<Output, CommandError>> {
    const addresses = this.adminAddresses;
    if (addresses.length === 0) {
      return fail(commandError('invalid', 'no admin address is known; give `--admin ip:port` or set JUJUBEWELL_ADMIN'));
    }

    const results = await Promise.all(addresses.map(async (address): Promise<StatusResult> => {
      const response = await callAdmin(address, 'GET', '/status');
      return response.kind === 'ok' ? {address, status: response.value, fault: undefined} : {address, status: undefined, fault: response.error.message};
    }));
    const failures = results.flatMap(({fault}) => fault === undefined ? [] : [fault]);
    return failures.length === results.length
      ? fail(commandError('unreachable', 'no process answered', failures))
      : ok({
        data: results,
        text: formatTable(['ADMIN', 'HOST', 'ZONE', 'STATE', 'SERVICE', 'IN FLIGHT', 'MEMBERS', 'SEQUENCE'], results.map(result => rowOf(result))),
      });
  }
}
