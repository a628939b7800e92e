#pragma once

// Edits and compares configuration documents for the operators' commands.
//
//   std::optional<std::string> text = WithdrawKeys(document, { "k1" });
//   for (const DocumentDifference& row : CompareDocuments(left, right)) { ... }

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotsail {

// A new key as an operator passes it to a customer, and the hash that the
// document stores.
struct IssuedKey
{
  std::string id_;
  // Shown once; the document contains only its hash.
  std::string secret_;
  std::string sha256_;
};

// Creates a key with a random 64-bit id and a random 256-bit secret.
IssuedKey
MakeKey();

// Returns the document with the key added, or nullopt if the document is
// invalid, the customer does not exist or the id is already used.
std::optional<std::string>
AddKey(std::string_view aDocument,
       const std::string& aCustomer,
       const IssuedKey& aKey);

// Returns the document with the keys marked as withdrawn, or nullopt if the
// document is invalid. Unknown ids are ignored.
std::optional<std::string>
WithdrawKeys(std::string_view aDocument, const std::vector<std::string>& aIds);

// An item that exists in only one of two documents or differs between them.
struct DocumentDifference
{
  std::string section_;
  // For example "k1"; empty for a field of the whole document.
  std::string item_;
  // JSON text of the item; empty if it does not exist.
  std::string left_;
  std::string right_;
};

// Returns no differences if one of the documents is invalid.
std::vector<DocumentDifference>
CompareDocuments(std::string_view aLeft, std::string_view aRight);

}
