/** `jujubewell delete`. */
import {Command, Option} from 'clipanion';
import {objectKey} from '../../objects/configuration.js';
import {fail, type Result} from '../../shared/result.js';
import {highestInForceSequence} from '../admin.js';
import {changeConfiguration} from '../change.js';
import {renderChangeOutcome} from '../change-output.js';
import {ChangeCommand, parseWholeNumber} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import {readConfiguration} from '../stored-configuration.js';
import type {Output} from '../output.js';
import {suggestCorrection} from '../../objects/suggestion.js';

/** Removes objects. */
export class DeleteCommand extends ChangeCommand {
  static override paths = [['delete']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Remove objects.',
    details: 'Fails as invalid when other objects still refer to a removed one. Changes of others are conflicts as in `apply`.',
    examples: [['Remove a rule', '$0 delete Rule/deadline-reads --base-sequence 12']],
  });

  keys = Option.Rest({name: 'kind/name', required: 1});

  protected async run(): Promise<Result<Output, CommandError>> {
    const baseSequence = parseWholeNumber('--base-sequence', this.baseSequence);
    if (baseSequence.kind === 'error') {
      return baseSequence;
    }

    const inForceSequence = await highestInForceSequence(this.adminAddresses);
    return this.withPlatform(async client => {
      const stored = await readConfiguration(client);
      if (stored.kind === 'error') {
        return stored;
      }

      const known = stored.value.configuration.objects.map(object => objectKey(object));
      const missing = this.keys.filter(key => !known.includes(key));
      if (missing.length > 0) {
        return fail(commandError('failed', 'some objects do not exist; nothing was removed', missing.map(key => `${key}: ${suggestCorrection(key, known) ?? 'the configuration is empty'}`)));
      }

      const changed = await changeConfiguration(client, {
        edit: {put: [], remove: this.keys, prune: false},
        author: this.authorName,
        baseSequence: baseSequence.value,
        overwrite: this.overwrite,
        dryRun: this.dryRun,
        inForceSequence,
      });
      return renderChangeOutcome(changed, lines => {
        this.printToStderr(lines);
      });
    });
  }
}
