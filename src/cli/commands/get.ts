/** `jujubewell get`. */
import {Command, Option} from 'clipanion';
import {lastChange, objectKey, type Configuration} from '../../objects/configuration.js';
import {DECLARED_KINDS} from '../../objects/json-schema.js';
import {suggestCorrection} from '../../objects/suggestion.js';
import type {DeclaredObject} from '../../objects/schema.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {PlatformCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import {readConfiguration} from '../stored-configuration.js';
import {
  formatTable, formatLabels, formatTime, type Output,
} from '../output.js';

const rowOf = (configuration: Configuration, object: DeclaredObject): string[] => {
  const {sequence, author, at} = lastChange(configuration, objectKey(object));
  return [object.kind, object.name, formatLabels(object.labels), String(sequence), author, at === 0 ? '' : formatTime(at)];
};

/** Lists objects. */
export class GetCommand extends PlatformCommand {
  static override paths = [['get']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'List objects.',
    details: 'The JSON output carries the sequence as `baseSequence`; `apply -f` takes it back and notices changes made in between.',
    examples: [
      ['List all objects', '$0 get'],
      ['List the rules', '$0 get Rule'],
      ['Export one object for editing', '$0 get Rule deadline-reads --output json'],
    ],
  });

  kind = Option.String({required: false, name: 'kind'});
  name = Option.String({required: false, name: 'name'});

  protected async run(): Promise<Result<Output, CommandError>> {
    if (this.kind !== undefined && !DECLARED_KINDS.includes(this.kind)) {
      return fail(commandError('invalid', `there is no kind \`${this.kind}\`; ${suggestCorrection(this.kind, DECLARED_KINDS)}`));
    }

    return this.withPlatform(async client => {
      const stored = await readConfiguration(client);
      if (stored.kind === 'error') {
        return stored;
      }

      const {configuration} = stored.value;
      const ofKind = configuration.objects.filter(({kind}) => this.kind === undefined || kind === this.kind);
      const objects = ofKind.filter(({name}) => this.name === undefined || name === this.name);
      if (this.name !== undefined && objects.length === 0) {
        return fail(commandError('failed', `there is no ${this.kind} \`${this.name}\`; ${suggestCorrection(this.name, ofKind.map(({name}) => name)) ?? 'none is declared'}`));
      }

      const table = formatTable(['KIND', 'NAME', 'LABELS', 'SEQUENCE', 'AUTHOR', 'CHANGED'], objects.map(object => rowOf(configuration, object)));
      return ok({
        data: {baseSequence: configuration.sequence, objects},
        text: `${table}\n\nsequence ${configuration.sequence}`,
      });
    });
  }
}
