/** Program that rewrites the generated sections of docs/CAPACITY.md from docs/capacity-figures.json. */
import {readFigures, writePage} from './page.js';

writePage(readFigures());
