/** Base classes of the commands: output formats, errors and exit codes. */
import {Command, Option} from 'clipanion';
import {createPlatformClient, type PlatformClient} from '../platform/client.js';
import {fail, type Result} from '../shared/result.js';
import {commandError, EXIT_CODES, type CommandError} from './error.js';
import {OUTPUT_FORMATS, type Output} from './output.js';

/** Splits a list of addresses that are separated by commas. */
const splitAddresses = (text: string): string[] => text.split(',').map(address => address.trim()).filter(address => address !== '');

/** Parses the value of an option as a whole number from 0; undefined when the option is not given. */
export const parseWholeNumber = (name: string, text: string | undefined): Result<number | undefined, CommandError> => {
  const value = text === undefined ? undefined : Number(text);
  return value === undefined || (Number.isSafeInteger(value) && value >= 0)
    ? {kind: 'ok', value}
    : fail(commandError('invalid', `${name} is \`${text}\`; give a whole number from 0`));
};

/** Command that prints its output in the requested format. */
export abstract class OutputCommand extends Command {
  output = Option.String('-o,--output', 'table', {description: 'Format of the output: `table` or `json`'});

  async execute(): Promise<number> {
    if (!OUTPUT_FORMATS.includes(this.output)) {
      return this.printError(commandError('invalid', `there is no output format \`${this.output}\`; use \`table\` or \`json\``));
    }

    const result = await this.run();
    if (result.kind === 'error') {
      return this.printError(result.error);
    }

    this.print(result.value);
    return EXIT_CODES.ok;
  }

  /** Prints the output in the requested format. */
  protected print({data, text}: Output): void {
    const content = this.output === 'json' ? JSON.stringify(data, null, 2) : text;
    if (data !== undefined && content !== '') {
      this.context.stdout.write(`${content}\n`);
    }
  }

  /** Prints lines that are not part of the output, such as warnings. */
  protected printToStderr(lines: readonly string[]): void {
    for (const line of lines) {
      this.context.stderr.write(`${line}\n`);
    }
  }

  protected abstract run(): Promise<Result<Output, CommandError>>;

  private printError(error: CommandError): number {
    const text = this.output === 'json'
      ? JSON.stringify({error}, null, 2)
      : [`${error.kind}: ${error.message}`, ...error.details.map(line => `  ${line}`)].join('\n');
    this.context.stderr.write(`${text}\n`);
    return EXIT_CODES[error.kind];
  }
}

/** Command that talks to the admin listeners of processes. */
export abstract class AdminCommand extends OutputCommand {
  admin = Option.String('--admin', {description: 'Admin addresses of processes, `ip:port`, separated by commas (default: $JUJUBEWELL_ADMIN)'});

  protected get adminAddresses(): string[] {
    return splitAddresses(this.admin ?? this.context.env.JUJUBEWELL_ADMIN ?? '');
  }

  /** Calls a function with the first admin address. */
  protected async withAdmin(use: (address: string) => Promise<Result<Output, CommandError>>): Promise<Result<Output, CommandError>> {
    const [address] = this.adminAddresses;
    return address === undefined
      ? fail(commandError('invalid', 'no admin address is known; give `--admin ip:port` or set JUJUBEWELL_ADMIN'))
      : use(address);
  }
}

/** Command that talks to the platform. */
export abstract class PlatformCommand extends AdminCommand {
  platform = Option.String('--platform', {description: 'Address of the platform, `ip:port` or a URL (default: $JUJUBEWELL_PLATFORM)'});

  protected get platformAddress(): string | undefined {
    return this.platform ?? this.context.env.JUJUBEWELL_PLATFORM;
  }

  /** Calls a function with a client of the platform and closes the client afterwards. */
  protected async withPlatform(use: (client: PlatformClient) => Promise<Result<Output, CommandError>>): Promise<Result<Output, CommandError>> {
    if (this.platformAddress === undefined) {
      return fail(commandError('invalid', 'the address of the platform is not known; give `--platform ip:port` or set JUJUBEWELL_PLATFORM'));
    }

    const client = createPlatformClient({address: this.platformAddress});
    try {
      return await use(client);
    } finally {
      await client.close();
    }
  }
}

/** Command that changes the configuration. */
export abstract class ChangeCommand extends PlatformCommand {
  author = Option.String('--author', {description: 'Who makes the change (default: $JUJUBEWELL_AUTHOR or $USER)'});
  baseSequence = Option.String('--base-sequence', {description: 'Sequence of the configuration that was edited, as `get` printed it'});
  overwrite = Option.Boolean('--overwrite', false, {description: 'Replace the changes that others have made before this command'});
  dryRun = Option.Boolean('--dry-run', false, {description: 'Check and show the change without writing it'});

  protected get authorName(): string {
    const {env} = this.context;
    return this.author ?? env.JUJUBEWELL_AUTHOR ?? env.USER ?? 'unknown';
  }
}
