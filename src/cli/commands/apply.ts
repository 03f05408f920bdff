/** `jujubewell apply`. */
import {Command, Option} from 'clipanion';
import type {Result} from '../../shared/result.js';
import {highestInForceSequence} from '../admin.js';
import {changeConfiguration} from '../change.js';
import {ChangeCommand, parseWholeNumber} from '../command.js';
import {renderChangeOutcome} from '../change-output.js';
import type {CommandError} from '../error.js';
import {parseObjects, readInput} from '../input.js';
import type {Output} from '../output.js';

/** Creates and replaces objects. */
export class ApplyCommand extends ChangeCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Create and replace objects.',
    details: `
      Merges the given objects into the configuration on the platform.

      Objects that others changed since the base are a conflict (exit code 3). Concurrent changes of other objects are merged.

      The base comes from \`--base-sequence\` or from the \`baseSequence\` that \`get --output json\` prints.

      Without a base, objects can be created, and replaced if their last change was by the same author.
    `,
    examples: [
      ['Apply the objects of a directory', '$0 apply -f playground/rogge-nord'],
      ['Make the files the whole configuration', '$0 apply -f playground/rogge-nord --prune'],
      ['Apply an edited export', '$0 get --output json > all.json && vi all.json && $0 apply -f all.json'],
    ],
  });

  files = Option.Array('-f,--file', [], {description: 'JSON file, directory of JSON files, or `-` for standard input'});
  prune = Option.Boolean('--prune', false, {description: 'Remove all objects that are not given'});

  protected async run(): Promise<Result<Output, CommandError>> {
    const baseSequence = parseWholeNumber('--base-sequence', this.baseSequence);
    if (baseSequence.kind === 'error') {
      return baseSequence;
    }

    const input = await readInput(this.files, this.context.stdin);
    if (input.kind === 'error') {
      return input;
    }

    // References are checked after merging: they may point to objects that only the platform holds.
    const put = parseObjects(input.value.objects);
    if (put.kind === 'error') {
      return put;
    }

    const inForceSequence = await highestInForceSequence(this.adminAddresses);
    return this.withPlatform(async client => {
      const changed = await changeConfiguration(client, {
        edit: {put: put.value, remove: [], prune: this.prune},
        author: this.authorName,
        baseSequence: baseSequence.value ?? input.value.baseSequence,
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
