/** `jujubewell completion`. */
import {Command, Option, type Definition} from 'clipanion';
import {DECLARED_KINDS} from '../../objects/json-schema.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {OutputCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import type {Output} from '../output.js';

const commandName = ({path}: Definition): string => path.split(' ')[1] ?? '';

const renderCase = (definition: Definition): string => {
  const options = definition.options.flatMap(({definition: names}) => names.split(' ')[0]!.split(','));
  return `    ${commandName(definition)}) words="${[...options, '--help'].join(' ')}" ;;`;
};

const renderBashScript = (definitions: readonly Definition[]): string => `# Bash completion of jujubewell; load it with: source <(jujubewell completion bash)
_jujubewell() {
  local current="\${COMP_WORDS[COMP_CWORD]}" previous="\${COMP_WORDS[COMP_CWORD-1]}" words=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "${definitions.map(definition => commandName(definition)).join(' ')}" -- "$current"))
    return
  fi
  case "$previous" in
    -f|--file) COMPREPLY=($(compgen -f -- "$current")); return ;;
    -o|--output) COMPREPLY=($(compgen -W "table json" -- "$current")); return ;;
    get) COMPREPLY=($(compgen -W "${DECLARED_KINDS.join(' ')}" -- "$current")); return ;;
  esac
  case "\${COMP_WORDS[1]}" in
${definitions.map(definition => renderCase(definition)).join('\n')}
  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _jujubewell jujubewell`;

/** Prints a script for command line completion. */
export class CompletionCommand extends OutputCommand {
  static override paths = [['completion']];

  static override usage = Command.Usage({
    category: 'Other',
    description: 'Print a script for command line completion.',
    examples: [['Load it into this shell', 'source <($0 completion bash)']],
  });

  shell = Option.String({name: 'shell'});

  protected async run(): Promise<Result<Output, CommandError>> {
    if (this.shell !== 'bash') {
      return fail(commandError('invalid', `there is no completion for \`${this.shell}\`; use \`bash\``));
    }

    const script = renderBashScript(this.cli.definitions().filter(definition => commandName(definition) !== ''));
    return ok({data: {script}, text: script});
  }
}
