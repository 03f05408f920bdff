/** `jujubewell delete`. */
import {Command, Option} from 'clipanion';
import {objectKey} from '../../objects/configuration.js';
import {fail, type Result} from '../../shared/result.js';
import {highestInForce} from '../admin.js';
import {changeConfiguration} from '../change.js';
import {changeOutput} from '../change-output.js';
import {ChangeCommand, parseCount} from '../command.js';
import {commandFault, type CommandFault} from '../fault.js';
import {readHead} from '../head.js';
import type {Output} from '../output.js';
import {suggestCorrection} from '../../objects/suggestion.js';

/** Removes objects. */
export class DeleteCommand extends ChangeCommand {
  static override paths = [['delete']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Remove objects.',
    details: 'Fails as invalid when other objects still refer to a removed one. Changes of others are treated as by `apply`.',
    examples: [['Remove a rule', '$0 delete Rule/deadline-reads --base-sequence 12']],
  });

  keys = Option.Rest({name: 'kind/name', required: 1});

  protected async run(): Promise<Result<Output, CommandFault>> {
    const baseSequence = parseCount('--base-sequence', this.baseSequence);
    if (baseSequence.kind === 'error') {
      return baseSequence;
    }

    const inForceSequence = await highestInForce(this.adminAddresses);
    return this.withPlatform(async client => {
      const head = await readHead(client);
      if (head.kind === 'error') {
        return head;
      }

      const known = head.value.configuration.objects.map(object => objectKey(object));
      const missing = this.keys.filter(key => !known.includes(key));
      if (missing.length > 0) {
        return fail(commandFault('failed', 'some objects do not exist; nothing was removed', missing.map(key => `${key}: ${suggestCorrection(key, known) ?? 'the configuration is empty'}`)));
      }

      const changed = await changeConfiguration(client, {
        edit: {put: [], remove: this.keys, prune: false},
        author: this.authorName,
        baseSequence: baseSequence.value,
        overwrite: this.overwrite,
        dryRun: this.dryRun,
        inForceSequence,
      });
      return changeOutput(changed, lines => {
        this.printNotes(lines);
      });
    });
  }
}
