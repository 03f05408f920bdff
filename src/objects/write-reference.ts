/** Program that writes docs/reference.md. */
import {writeFile} from 'node:fs/promises';
import {renderReference} from './reference.js';

await writeFile(new URL('../../docs/reference.md', import.meta.url), renderReference());
