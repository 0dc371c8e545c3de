/** The entry point of the binary. */
import { OwnFronts } from './fronts.js';
import { runMain } from './run-main.js';

runMain(new OwnFronts());
