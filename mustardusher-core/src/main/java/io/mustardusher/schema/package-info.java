/** Validation of documents against the JSON schemas from which their Java types are generated. */
package io.mustardusher.schema;
