/** `jujubewell watch`. */
import {Command, Option} from 'clipanion';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, decodeConfiguration, type Configuration,
} from '../../objects/configuration.js';
import type {PlatformClient, WatchEvent} from '../../platform/client.js';
import {ok, type Result} from '../../shared/result.js';
import {parseWholeNumber, PlatformCommand} from '../command.js';
import type {CommandError} from '../error.js';
import {readConfiguration, type StoredConfiguration} from '../stored-configuration.js';
import {formatTime, type Output} from '../output.js';
import {formatDifference, planEdit} from '../edit-plan.js';

/** Shows changes of the configuration as they are accepted. */
export class WatchCommand extends PlatformCommand {
  static override paths = [['watch']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show changes of the configuration as they are accepted.',
    details: 'Resumes automatically when the connection breaks or goes silent. With `--output json`, prints one object per change.',
    examples: [['Wait for one change', '$0 watch --count 1']],
  });

  count = Option.String('--count', {description: 'End after this number of changes (default: run until interrupted)'});

  private previous: Configuration | undefined;

  protected async run(): Promise<Result<Output, CommandError>> {
    const count = parseWholeNumber('--count', this.count);
    if (count.kind === 'error') {
      return count;
    }

    return this.withPlatform(async client => {
      const stored = await readConfiguration(client);
      if (stored.kind === 'error') {
        return stored;
      }

      this.previous = stored.value.configuration;
      this.printToStderr([`watching after sequence ${stored.value.configuration.sequence}`]);
      return this.watchChanges(client, stored.value, count.value ?? Number.POSITIVE_INFINITY);
    });
  }

  private async watchChanges(client: PlatformClient, stored: StoredConfiguration, count: number): Promise<Result<Output, CommandError>> {
    let remaining = count;
    let message = '';
    await new Promise<void>(resolve => {
      const watch = client.watch(CONFIGURATION_KIND, stored.version ?? 0, event => {
        remaining -= this.printChange(event) ? 1 : 0;
        message = event.kind === 'broken' ? event.message : '';
        if (remaining <= 0 || event.kind === 'broken') {
          watch.close();
          resolve();
        }
      });
    });
    return message === '' ? ok({data: undefined, text: ''}) : this.resumeWatch(client, remaining, message);
  }

  /** Reads the configuration after a watch broke, prints what changed in between, and continues watching. */
  private async resumeWatch(client: PlatformClient, count: number, message: string): Promise<Result<Output, CommandError>> {
    this.printToStderr([message]);
    const stored = await readConfiguration(client);
    if (stored.kind === 'error') {
      return stored;
    }

    const changed = this.printIfChanged(stored.value.configuration);
    const remaining = changed ? count - 1 : count;
    return remaining <= 0 ? ok({data: undefined, text: ''}) : this.watchChanges(client, stored.value, remaining);
  }

  private printChange(event: WatchEvent): boolean {
    if (event.kind !== 'changed' || event.object.name !== CONFIGURATION_NAME) {
      return false;
    }

    const decoded = decodeConfiguration(event.object.value);
    if (decoded.kind === 'error') {
      this.printToStderr([decoded.error.message]);
      return false;
    }

    return this.printIfChanged(decoded.value);
  }

  private printIfChanged(configuration: Configuration): boolean {
    const {sequence, author, acceptedAt, writeId} = configuration;
    if (this.previous === undefined || this.previous.writeId === writeId) {
      return false;
    }

    const lines = planEdit(this.previous, {put: configuration.objects, remove: [], prune: true}).differences.flatMap(difference => formatDifference(difference));
    this.previous = configuration;
    const data = {
      sequence, author, acceptedAt, lines,
    };
    this.context.stdout.write(this.output === 'json'
      ? `${JSON.stringify(data)}\n`
      : `${[`sequence ${sequence} by ${author} at ${formatTime(acceptedAt)}`, ...lines.map(line => `  ${line}`)].join('\n')}\n`);
    return true;
  }
}
