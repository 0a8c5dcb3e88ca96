/** Numbered result codes, what they say about a call, and the exception that carries one. */
package io.mustardusher.result;
