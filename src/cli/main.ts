#!/usr/bin/env node
/** Program `jujubewell`. */
import process from 'node:process';
import {runCli} from './cli.js';

process.exitCode = await runCli(process.argv.slice(2));
