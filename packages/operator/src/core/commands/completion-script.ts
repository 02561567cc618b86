import type {Command} from 'commander';

/**
 * Creates a completion script for bash.
 *
 * @param program - Program with all its commands.
 * @returns The script; load it with `source <(sapphireglade-operator completion)`.
 */
export function createCompletionScript(program: Command): string {
  const name = program.name();
  const commands = program.commands.map(command => command.name());
  const cases = program.commands.map(command => {
    const options = command.options.map(option => option.long).join(' ');
    return `    ${command.name()}) words="${options}";;`;
  });
  return [
    '_sapphireglade_operator() {',
    '  local current="${COMP_WORDS[COMP_CWORD]}" words="" word',
    `  words="${commands.join(' ')}"`,
    '  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do case "$word" in',
    ...cases,
    '  esac; done',
    '  COMPREPLY=($(compgen -W "$words" -- "$current"))',
    '}',
    `complete -F _sapphireglade_operator ${name}`,
  ].join('\n');
}
