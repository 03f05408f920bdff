/** `jujubewell token`. */
import {createHmac} from 'node:crypto';
import {Command, Option} from 'clipanion';
import {GROUP_HEADER} from '../../shared/constants.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {OutputCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import type {Output} from '../output.js';

/** Length of the message authentication code in characters of base64url, as processes check it (`groupMac` in the daemon). */
const GROUP_MAC_LENGTH = 22;
const GROUP_PATTERN = /^[a-z\d](?:[a-z\d-]{0,61}[a-z\d])?$/u;

/** Creates the value of the client group header: the group and its message authentication code. */
export const groupToken = (group: string, fleetKey: string): string =>
  `${group}.${createHmac('sha256', fleetKey).update(`group:${group}`).digest('base64url').slice(0, GROUP_MAC_LENGTH)}`;

/** Prints the header by which clients prove their group. */
export class TokenCommand extends OutputCommand {
  static override paths = [['token']];

  static override usage = Command.Usage({
    category: 'Clients',
    description: 'Create the header by which clients prove their group.',
    details: 'The key is read from $JUJUBEWELL_FLEET_KEY, so that it does not show in the list of processes.',
    examples: [['Create the header of a society', 'JUJUBEWELL_FLEET_KEY=... $0 token societe-carthage']],
  });

  group = Option.String({name: 'group'});

  protected async run(): Promise<Result<Output, CommandError>> {
    const fleetKey = this.context.env.JUJUBEWELL_FLEET_KEY;
    if (fleetKey === undefined || fleetKey === '') {
      return fail(commandError('invalid', 'the fleet key is not known; set JUJUBEWELL_FLEET_KEY to the `fleetKey` of the settings of jujubewelld'));
    }

    if (!GROUP_PATTERN.test(this.group)) {
      return fail(commandError('invalid', `\`${this.group}\` is no name of a client group; use 1 to 63 lower-case letters, digits and hyphens, not at the ends`));
    }

    const token = groupToken(this.group, fleetKey);
    return ok({data: {header: GROUP_HEADER, value: token}, text: `${GROUP_HEADER}: ${token}`});
  }
}
