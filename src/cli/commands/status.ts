/** `jujubewell status`. */
import {Command} from 'clipanion';
import {getProperty} from '../../objects/json-schema.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {callAdmin, inForceSequence} from '../admin.js';
import {AdminCommand} from '../command.js';
import {commandFault, type CommandFault} from '../fault.js';
import {formatTable, type Output} from '../output.js';

type Answer = {address: string; status: unknown; fault: string | undefined};

const textOf = (value: unknown): string => {
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

const rowOf = ({address, status, fault}: Answer): string[] => fault === undefined
  ? [
    address,
    textOf(getProperty(status, 'host')),
    textOf(getProperty(status, 'zone')),
    textOf(getProperty(status, 'state')),
    textOf(getProperty(getProperty(getProperty(status, 'backendServer'), 'spec'), 'service')),
    textOf(getProperty(status, 'inFlight')),
    textOf(memberCount(status)),
    textOf(inForceSequence(status)),
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

  protected async run(): Promise<Result<Output, CommandFault>> {
    const addresses = this.adminAddresses;
    if (addresses.length === 0) {
      return fail(commandFault('invalid', 'no admin address is known; give `--admin ip:port` or set JUJUBEWELL_ADMIN'));
    }

    const answers = await Promise.all(addresses.map(async (address): Promise<Answer> => {
      const answer = await callAdmin(address, 'GET', '/status');
      return answer.kind === 'ok' ? {address, status: answer.value, fault: undefined} : {address, status: undefined, fault: answer.error.message};
    }));
    const faults = answers.flatMap(({fault}) => fault === undefined ? [] : [fault]);
    return faults.length === answers.length
      ? fail(commandFault('unreachable', 'no process answered', faults))
      : ok({
        data: answers,
        text: formatTable(['ADMIN', 'HOST', 'ZONE', 'STATE', 'SERVICE', 'IN FLIGHT', 'MEMBERS', 'SEQUENCE'], answers.map(answer => rowOf(answer))),
      });
  }
}
