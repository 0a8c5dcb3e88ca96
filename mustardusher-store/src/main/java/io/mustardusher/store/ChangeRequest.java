package io.mustardusher.store;

import java.util.Optional;

import io.mustardusher.generated.EntryDocument;

/**
 * Request of an operator to change one entry of the catalogue.
 *
 * @param change     identifier of the change
 * @param service    name of the service
 * @param author     name of the operator
 * @param ifRevision expected revision of the current entry; 0 if there is none
 * @param entry      new entry, or empty to remove the current one
 */
public record ChangeRequest(
        String change, String service, String author, long ifRevision, Optional<EntryDocument> entry) {}
