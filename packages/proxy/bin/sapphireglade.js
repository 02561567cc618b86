#!/usr/bin/env node
import process from 'node:process';
import {main} from '../dist/src/main.js';

await main(process.argv);
