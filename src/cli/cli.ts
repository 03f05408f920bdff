/** The `jujubewell` command line as a function. */
import {Builtins, Cli, type BaseContext} from 'clipanion';
import {ApplyCommand} from './commands/apply.js';
import {CompletionCommand} from './commands/completion.js';
import {DeleteCommand} from './commands/delete.js';
import {DescribeCommand} from './commands/describe.js';
import {DiffCommand} from './commands/diff.js';
import {DrainCommand} from './commands/drain.js';
import {EventsCommand} from './commands/events.js';
import {ExplainCommand} from './commands/explain.js';
import {GetCommand} from './commands/get.js';
import {StatusCommand} from './commands/status.js';
import {TokenCommand} from './commands/token.js';
import {TraceCommand} from './commands/trace.js';
import {ValidateCommand} from './commands/validate.js';
import {WatchCommand} from './commands/watch.js';
import {EXIT_CODES} from './error.js';

/** Version that `--version` prints. */
const VERSION = '0.1.0';

const COMMANDS = [
  ApplyCommand,
  CompletionCommand,
  DeleteCommand,
  DescribeCommand,
  DiffCommand,
  DrainCommand,
  EventsCommand,
  ExplainCommand,
  GetCommand,
  StatusCommand,
  TokenCommand,
  TraceCommand,
  ValidateCommand,
  WatchCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

const createCli = (): Cli => {
  const cli = new Cli({binaryLabel: 'jujubewell', binaryName: 'jujubewell', binaryVersion: VERSION});
  for (const command of COMMANDS) {
    cli.register(command);
  }

  return cli;
};

/** Runs a command line, without the program name, and returns the exit code. */
export const runCli = async (args: string[], context: Partial<BaseContext> = {}): Promise<number> => {
  const cli = createCli();
  const fullContext = {...Cli.defaultContext, ...context};
  try {
    const command = cli.process(args, fullContext);
    return await cli.run(command, fullContext);
  } catch (error) {
    // Clipanion throws usage errors and formats them itself.
    fullContext.stderr.write(cli.error(error));
    return EXIT_CODES.invalid;
  }
};
