/** `jujubewell validate`. */
import {Command, Option} from 'clipanion';
import {formatDiagnostic} from '../../objects/diagnostic.js';
import {checkObjects} from '../../objects/validation.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {PlatformCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import {readConfiguration} from '../stored-configuration.js';
import {parseObjects, readInput} from '../input.js';
import type {Output} from '../output.js';
import {planEdit} from '../edit-plan.js';

const validate = (input: unknown[]): Result<Output, CommandError> => {
  const {objects, diagnostics} = checkObjects(input);
  const lines = diagnostics.map(diagnostic => formatDiagnostic(diagnostic));
  return objects === undefined
    ? fail(commandError('invalid', 'the objects are not valid', lines))
    : ok({data: {objects: objects.length, warnings: diagnostics}, text: [...lines, `${objects.length} objects are valid`].join('\n')});
};

/** Checks objects without applying them. */
export class ValidateCommand extends PlatformCommand {
  static override paths = [['validate']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check objects without applying them.',
    details: 'Lists every error and warning. With `--merged`, checks the configuration on the platform as it would be after `apply`; otherwise needs no platform.',
    examples: [
      ['Check the objects of a directory', '$0 validate -f playground/rogge-nord'],
      ['Check one file together with the configuration on the platform', '$0 validate -f rule.json --merged'],
    ],
  });

  files = Option.Array('-f,--file', [], {description: 'JSON file, directory of JSON files, or `-` for standard input'});
  merged = Option.Boolean('--merged', false, {description: 'Merge the objects with the configuration on the platform first'});

  protected async run(): Promise<Result<Output, CommandError>> {
    const input = await readInput(this.files, this.context.stdin);
    if (input.kind === 'error') {
      return input;
    }

    if (!this.merged) {
      return validate(input.value.objects);
    }

    const put = parseObjects(input.value.objects);
    if (put.kind === 'error') {
      return put;
    }

    return this.withPlatform(async client => {
      const stored = await readConfiguration(client);
      return stored.kind === 'error'
        ? stored
        : validate(planEdit(stored.value.configuration, {put: put.value, remove: [], prune: false}).objects);
    });
  }
}
