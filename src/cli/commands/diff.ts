/** `jujubewell diff`. */
import {Command, Option} from 'clipanion';
import {ok, type Result} from '../../shared/result.js';
import {PlatformCommand} from '../command.js';
import type {CommandError} from '../error.js';
import {readConfiguration} from '../stored-configuration.js';
import {parseObjects, readInput} from '../input.js';
import type {Output} from '../output.js';
import {formatDifference, planEdit} from '../edit-plan.js';

/** Shows what `apply` would change. */
export class DiffCommand extends PlatformCommand {
  static override paths = [['diff']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show what `apply` would change.',
    details: 'Lines start with `+` for created, `~` for updated and `-` for removed objects. The exit code is 0 with and without differences.',
    examples: [['Compare a directory with the whole configuration', '$0 diff -f playground/rogge-nord --prune']],
  });

  files = Option.Array('-f,--file', [], {description: 'JSON file, directory of JSON files, or `-` for standard input'});
  prune = Option.Boolean('--prune', false, {description: 'Count objects that are not given as removed'});

  protected async run(): Promise<Result<Output, CommandError>> {
    const input = await readInput(this.files, this.context.stdin);
    if (input.kind === 'error') {
      return input;
    }

    const put = parseObjects(input.value.objects);
    if (put.kind === 'error') {
      return put;
    }

    return this.withPlatform(async client => {
      const stored = await readConfiguration(client);
      if (stored.kind === 'error') {
        return stored;
      }

      const {differences} = planEdit(stored.value.configuration, {put: put.value, remove: [], prune: this.prune});
      const lines = differences.flatMap(difference => formatDifference(difference));
      return ok({
        data: {baseSequence: stored.value.configuration.sequence, differences},
        text: lines.length === 0 ? `no differences from sequence ${stored.value.configuration.sequence}` : lines.join('\n'),
      });
    });
  }
}
